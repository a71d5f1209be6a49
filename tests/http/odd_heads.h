#ifndef TESTS_HTTP_ODD_HEADS_H
#define TESTS_HTTP_ODD_HEADS_H

/* Heads that are no head of an answer, with a body after them. */

#include <glib.h>

#define ODD_BODY "Content-Length: 12\r\n\r\n{\"a\":123456}"

static const char *const odd_heads[] = {
	/* no final status */
	"HTTP/1.1 000 Odd\r\n" ODD_BODY,
	"HTTP/1.1 099 Odd\r\n" ODD_BODY,
	"HTTP/1.1 600 Odd\r\n" ODD_BODY,
	"HTTP/1.1 999 Odd\r\n" ODD_BODY,
	"HTTP/1.1 0200 Odd\r\n" ODD_BODY,
	"HTTP/1.1 20 Odd\r\n" ODD_BODY,
	"HTTP/1.1 -200 Odd\r\n" ODD_BODY,
	"HTTP/1.1 2x0 Odd\r\n" ODD_BODY,
	"HTTP/1.1 Odd\r\n" ODD_BODY,
	/* an upgrade that was not asked for */
	"HTTP/1.1 101 Odd\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n"
	"HTTP/1.1 200 OK\r\n" ODD_BODY,
	/* a control character in the reason */
	"HTTP/1.1 200 O\001K\r\n" ODD_BODY,
	"HTTP/1.1 200 O\177K\r\n" ODD_BODY,
	/* a body that the status excludes */
	"HTTP/1.1 204 No Content\r\n" ODD_BODY,
	"HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked\r\n\r\n"
	"0\r\n\r\n",
	/* the name of a field */
	"HTTP/1.1 200 OK\r\nX Odd: b\r\n" ODD_BODY,
	"HTTP/1.1 200 OK\r\nX-Odd : b\r\n" ODD_BODY,
	"HTTP/1.1 200 OK\r\nX-Odd\t: b\r\n" ODD_BODY,
	"HTTP/1.1 200 OK\r\nX\001Odd: b\r\n" ODD_BODY,
	"HTTP/1.1 200 OK\r\nX\033Odd: b\r\n" ODD_BODY,
	"HTTP/1.1 200 OK\r\nX\177Odd: b\r\n" ODD_BODY,
	"HTTP/1.1 200 OK\r\nX\303\244Odd: b\r\n" ODD_BODY,
	"HTTP/1.1 200 OK\r\nX(Odd): b\r\n" ODD_BODY,
	"HTTP/1.1 200 OK\r\n\"X-Odd\": b\r\n" ODD_BODY,
	"HTTP/1.1 200 OK\r\n{X-Odd: b\r\n" ODD_BODY,
	"HTTP/1.1 200 OK\r\n: b\r\n" ODD_BODY,
	"HTTP/1.1 200 OK\r\nOdd\r\n" ODD_BODY,
	"HTTP/1.1 200 OK\r\nX-Odd: b\001c\r\n" ODD_BODY,
	"HTTP/1.1 200 OK\r\nContent Length: 3\r\n\r\n{\"a\":123456}",
	"HTTP/1.1 200 OK\r\nContent-Length : 3\r\n\r\n{\"a\":123456}",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n"
	"c\r\n{\"a\":123456}\r\n0\r\n\r\n",
	"HTTP/1.1 200 OK\r\nTransfer\001-Encoding: chunked\r\n\r\n"
	"c\r\n{\"a\":123456}\r\n0\r\n\r\n",
};

#define ODD_HEADS G_N_ELEMENTS(odd_heads)

#endif
