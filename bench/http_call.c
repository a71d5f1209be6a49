/* One HTTP request for the bench scripts: `http_call METHOD URL [BODY]` prints
 * the response body; the exit status is 1 unless the response is a 2xx. */

#include <libsoup/soup.h>
#include <stdio.h>
#include <string.h>

int
main(int argc, char **argv)
{
	SoupSession *session = soup_session_new();
	SoupMessage *message;
	GBytes *response;
	guint status;

	if (argc < 3) {
		fprintf(stderr, "http_call METHOD URL [BODY]\n");
		return 2;
	}
	message = soup_message_new(argv[1], argv[2]);
	if (message == NULL)
		return 2;
	if (argc > 3) {
		GBytes *body = g_bytes_new(argv[3], strlen(argv[3]));

		soup_message_set_request_body_from_bytes(
		    message, "application/json", body);
		g_bytes_unref(body);
	}
	response = soup_session_send_and_read(session, message, NULL, NULL);
	status = soup_message_get_status(message);
	if (response != NULL) {
		fwrite(g_bytes_get_data(response, NULL), 1,
		    g_bytes_get_size(response), stdout);
		putchar('\n');
		g_bytes_unref(response);
	}
	g_object_unref(message);
	g_object_unref(session);
	return response != NULL && status / 100 == 2 ? 0 : 1;
}
