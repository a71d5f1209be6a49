/* Settings tree: prints a schema as a Markdown table. */

#include "common/cfg_internal.h"

static const char *const type_names[] = {
	[CFG_MAP] = "map",
	[CFG_LIST] = "list",
	[CFG_STRING] = "string",
	[CFG_INT] = "integer",
	[CFG_BOOL] = "boolean",
};

/* Escapes the `|` character, which would end the table cell. */
static void
append_cell(GString *out, const char *text)
{
	for (; *text != '\0'; text++) {
		if (*text == '|')
			g_string_append_c(out, '\\');
		g_string_append_c(out, *text);
	}
}

static void
print_rule(const struct cfg_rule *rule, GString *out)
{
	GString *allowed = g_string_new(NULL);

	cfg_describe(rule, allowed);
	g_string_append_printf(out, "| `%s` | %s | %s | ", rule->path,
	    type_names[rule->type], rule->unit != NULL ? rule->unit : "");
	if (rule->required)
		g_string_append(out, "required");
	else if (rule->fallback != NULL)
		g_string_append_printf(out, "`%s`", rule->fallback);
	g_string_append(out, " | ");
	append_cell(out, allowed->str);
	g_string_append(out, " | ");
	append_cell(out, rule->about != NULL ? rule->about : "");
	g_string_append(out, " |\n");
	g_string_free(allowed, TRUE);
}

void
cfg_print_schema(const struct cfg_schema *schema, GString *out)
{
	size_t i;

	g_string_append(out,
	    "| key | type | unit | default | allowed | meaning |\n"
	    "| --- | --- | --- | --- | --- | --- |\n");
	for (i = 0; i < schema->nrules; i++)
		print_rule(&schema->rules[i], out);
}
