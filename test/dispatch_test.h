/* The test cases of lib/dispatch, by file. */
#ifndef DISPATCH_TEST_H
#define DISPATCH_TEST_H

void crash_tests_add(void);
void capacity_tests_add(void);
void key_tests_add(void);
void organisation_tests_add(void);
void policy_tests_add(void);
void overload_tests_add(void);
void drain_tests_add(void);

#endif
