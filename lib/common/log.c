/* Log lines, written through log4c to standard error. */

#include <log4c.h>
#include <stdarg.h>

#include "common/common.h"

static log4c_category_t *category;

void
log_open(const char *program)
{
	if (log4c_init() != 0)
		return;
	category = log4c_category_get(program);
	log4c_category_set_priority(category, LOG4C_PRIORITY_INFO);
	log4c_category_set_additivity(category, 0);
	log4c_category_set_appender(category, log4c_appender_get("stderr"));
	log4c_appender_set_layout(
	    log4c_appender_get("stderr"), log4c_layout_get("dated"));
}

void
log_close(void)
{
	if (category != NULL)
		log4c_fini();
	category = NULL;
}

void
log_info(const char *format, ...)
{
	va_list args;

	if (category == NULL)
		return;
	va_start(args, format);
	log4c_category_vlog(category, LOG4C_PRIORITY_INFO, format, args);
	va_end(args);
}

void
log_warn(const char *format, ...)
{
	va_list args;

	if (category == NULL)
		return;
	va_start(args, format);
	log4c_category_vlog(category, LOG4C_PRIORITY_WARN, format, args);
	va_end(args);
}
