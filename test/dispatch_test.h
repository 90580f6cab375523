/* The test cases of lib/dispatch, by file. */
#ifndef DISPATCH_TEST_H
#define DISPATCH_TEST_H

struct leader;
struct stub_worker;

/* Has the fast workers "a" and "b" and the slow one "slow" run a job, so that
 * their speeds are known. */
void run_uneven(struct leader *l, struct stub_worker *workers[3]);

void crash_tests_add(void);
void capacity_tests_add(void);
void key_tests_add(void);
void organisation_tests_add(void);
void policy_tests_add(void);
void overload_tests_add(void);
void drain_tests_add(void);
void explain_tests_add(void);
void report_tests_add(void);
void restart_tests_add(void);
void retry_tests_add(void);

#endif
