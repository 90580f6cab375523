/*
 * Lets a handler answer a request before its body is received. A filter on
 * the input of each connection finds the ends of heads and bodies. If the
 * server's owner wants to skip the body, evhttp gets the request with an empty
 * body, and the bytes of the body are discarded as they arrive.
 */
#include <string.h>
#include <strings.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include "impl.h"
#include "logs.h"

enum input_state {
	INPUT_HEAD, /* at the beginning of a request */
	INPUT_BODY, /* the next bytes are a body to be passed on */
	INPUT_SKIPPED, /* the next bytes are a body to be discarded */
	INPUT_OPAQUE /* not understood; everything is passed on */
};

/* Input of a connection. */
struct input {
	struct httpd *httpd;
	enum input_state state;
	uint64_t left; /* bytes of the body */
	struct evbuffer *received; /* not yet filtered */
	size_t discarded; /* bytes, by the call of skip_filter() */
};

struct head {
	char *method;
	char *path;
	uint64_t body_len;
	bool opaque; /* the length of the body isn't known */
	bool waits; /* for "100 Continue" before it sends the body */
};

static void
head_clear(struct head *h)
{
	g_free(h->method);
	g_free(h->path);
}

/* Returns what follows the colon if the line has this header, else NULL. */
static char *
header_value(char *line, const char *name)
{
	size_t len = strlen(name);

	if (strncasecmp(line, name, len) != 0 || line[len] != ':')
		return NULL;
	return line + len + 1;
}

static void
head_parse(char **lines, struct head *h)
{
	char **word = g_strsplit(lines[0], " ", 3);

	*h = (struct head){ .method = g_strdup(word[0]) };
	if (word[0] != NULL && word[1] != NULL)
		h->path = g_strndup(word[1], strcspn(word[1], "?"));
	h->opaque = h->path == NULL;
	g_strfreev(word);
	for (int i = 1; lines[i] != NULL; i++) {
		char *length = header_value(lines[i], "Content-Length");

		h->opaque |=
		    header_value(lines[i], "Transfer-Encoding") != NULL;
		h->waits |= header_value(lines[i], "Expect") != NULL;
		if (length != NULL &&
		    !g_ascii_string_to_unsigned(g_strstrip(length), 10, 0,
			INT64_MAX, &h->body_len, NULL))
			h->opaque = true;
	}
}

/* Returns the lines of the head and sets *len to its length in bytes; NULL if
 * the head isn't complete. */
static char **
read_head(struct evbuffer *src, size_t *len)
{
	GPtrArray *lines = g_ptr_array_new();
	struct evbuffer_ptr at;
	struct evbuffer_ptr eol;
	size_t eol_len;
	bool complete = false;

	evbuffer_ptr_set(src, &at, 0, EVBUFFER_PTR_SET);
	while (!complete) {
		size_t n;
		char *line;

		eol =
		    evbuffer_search_eol(src, &at, &eol_len, EVBUFFER_EOL_CRLF);
		if (eol.pos < 0)
			break;
		n = (size_t)(eol.pos - at.pos);
		complete = n == 0;
		line = g_malloc0(n + 1);
		evbuffer_copyout_from(src, &at, line, n);
		g_ptr_array_add(lines, line);
		*len = (size_t)eol.pos + eol_len;
		if (evbuffer_ptr_set(src, &at, n + eol_len, EVBUFFER_PTR_ADD) !=
		    0)
			break;
	}
	g_ptr_array_add(lines, NULL);
	if (complete)
		return (char **)g_ptr_array_free(lines, FALSE);
	g_strfreev((char **)g_ptr_array_free(lines, FALSE));
	return NULL;
}

/* Passes on a head that announces an empty body. */
static void
pass_empty(struct evbuffer *dst, char **lines, uint64_t body_len)
{
	for (int i = 0; lines[i][0] != '\0'; i++)
		if (header_value(lines[i], "Content-Length") == NULL)
			evbuffer_add_printf(dst, "%s\r\n", lines[i]);
	evbuffer_add_printf(dst,
	    "Content-Length: 0\r\n" SKIPPED_HEADER ": %" G_GUINT64_FORMAT
	    "\r\n\r\n",
	    body_len);
}

/* A caller that waits for "100 Continue" may not send the body at all. */
static bool
skips(const struct httpd *h, const struct head *head)
{
	return head->body_len > 0 && !head->waits &&
	    strcmp(head->method, "POST") == 0 &&
	    strcmp(head->path, h->skip_path) == 0 &&
	    h->skip(h->arg, head->body_len);
}

/* Returns false if the head isn't complete. */
static bool
pass_head(struct input *in, struct evbuffer *src, struct evbuffer *dst)
{
	struct head head;
	size_t len = 0;
	char **lines = read_head(src, &len);

	if (lines == NULL) {
		if (evbuffer_get_length(src) <= in->httpd->headers_max)
			return false;
		in->state = INPUT_OPAQUE;
		return true;
	}
	head_parse(lines, &head);
	if (!head.opaque && head.body_len > in->httpd->body_max)
		log_info("httpd",
		    "event=body-too-large path=%s bytes=%" G_GUINT64_FORMAT
		    " max=%zu",
		    head.path, head.body_len, in->httpd->body_max);
	in->left = head.body_len;
	if (head.opaque) {
		in->state = INPUT_OPAQUE;
	} else if (skips(in->httpd, &head)) {
		pass_empty(dst, lines, head.body_len);
		evbuffer_drain(src, len);
		in->state = INPUT_SKIPPED;
	} else {
		evbuffer_remove_buffer(src, dst, len);
		in->state = head.body_len > 0 ? INPUT_BODY : INPUT_HEAD;
	}
	head_clear(&head);
	g_strfreev(lines);
	return true;
}

static void
pass_body(struct input *in, struct evbuffer *src, struct evbuffer *dst)
{
	size_t n = MIN(in->left, evbuffer_get_length(src));

	if (in->state == INPUT_BODY) {
		evbuffer_remove_buffer(src, dst, n);
	} else {
		evbuffer_drain(src, n);
		in->discarded += n;
	}
	in->left -= n;
	if (in->left == 0)
		in->state = INPUT_HEAD;
}

static void
filter(struct input *in, struct evbuffer *src, struct evbuffer *dst)
{
	while (evbuffer_get_length(src) > 0) {
		if (in->state == INPUT_OPAQUE)
			evbuffer_add_buffer(dst, src);
		else if (in->state != INPUT_HEAD)
			pass_body(in, src, dst);
		else if (!pass_head(in, src, dst))
			break;
	}
}

size_t
skip_filter(struct input *in, struct evbuffer *buf, size_t passed_len)
{
	struct evbuffer *passed = evbuffer_new();

	in->discarded = 0;
	evbuffer_remove_buffer(buf, passed, passed_len);
	evbuffer_add_buffer(in->received, buf);
	filter(in, in->received, passed);
	evbuffer_add_buffer(buf, passed);
	evbuffer_free(passed);
	return in->discarded;
}

bool
skip_in_progress(const struct input *in)
{
	return in->state == INPUT_SKIPPED;
}

struct input *
skip_input_new(struct httpd *h)
{
	struct input *in = g_new0(struct input, 1);

	in->httpd = h;
	in->received = evbuffer_new();
	return in;
}

void
skip_input_free(struct input *in)
{
	evbuffer_free(in->received);
	g_free(in);
}
