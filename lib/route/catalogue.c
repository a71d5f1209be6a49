/* A workspace's settings branch in typed form. */

#include <string.h>

#include "route/route.h"

static void
copy_name(char out[RT_NAME_MAX + 1], const char *from)
{
	g_strlcpy(out, from == NULL ? "" : from, RT_NAME_MAX + 1);
}

/* Returns a NULL-terminated array of a list's strings, which are borrowed. */
static const char **
read_strings(const struct cfg *cfg, const char *path)
{
	size_t n = cfg_count(cfg, "%s", path), i;
	const char **out = g_new0(const char *, n + 1);

	for (i = 0; i < n; i++)
		out[i] = cfg_str(cfg, "%s.%zu", path, i);
	return out;
}

static unsigned int
rule_weight(const struct cfg *cfg, const char *model, const char *version)
{
	size_t n = cfg_count(cfg, "models.%s.rules", model), i;

	for (i = 0; i < n; i++) {
		if (strcmp(
			cfg_str(cfg, "models.%s.rules.%zu.version", model, i),
			version) == 0)
			return (unsigned int)cfg_int(
			    cfg, "models.%s.rules.%zu.weight", model, i);
	}
	return 0;
}

static void
read_version(const struct cfg *cfg, const char *model, const char *name,
    struct rt_version *out)
{
	char *path = g_strdup_printf("models.%s.versions.%s", model, name);

	copy_name(out->name, name);
	digest_from_hex(cfg_str(cfg, "%s.root", path), &out->root);
	out->bytes = (uint64_t)cfg_int(cfg, "%s.bytes", path);
	out->chunk_bytes = (uint64_t)cfg_int(cfg, "%s.chunk_bytes", path);
	out->weights = cfg_str(cfg, "%s.weights", path);
	out->chunks = cfg_str(cfg, "%s.chunks", path);
	out->weight = rule_weight(cfg, model, name);
	g_free(path);
}

static void
read_rollout(const struct cfg *cfg, struct rt_model *out)
{
	char *path = g_strdup_printf("models.%s.rollout", out->name);
	const char *wanted = cfg_str(cfg, "%s.version", path);
	size_t i;

	for (i = 0; i < out->nversions; i++) {
		if (strcmp(out->versions[i].name, wanted) == 0)
			out->rollout = &out->versions[i];
	}
	out->time_first =
	    strcmp(cfg_str(cfg, "%s.policy", path), "time_first") == 0;
	out->origin_copies =
	    (unsigned int)cfg_int(cfg, "%s.origin_copies", path);
	out->max_unavailable =
	    (unsigned int)cfg_int(cfg, "%s.max_unavailable", path);
	out->room_for_two = cfg_bool(cfg, "%s.room_for_two", path);
	g_free(path);
}

static void
read_model(const struct cfg *cfg, const char *name, struct rt_model *out)
{
	char *domains = g_strdup_printf("models.%s.place.domains", name);
	size_t i;

	copy_name(out->name, name);
	copy_name(out->pool, cfg_str(cfg, "models.%s.place.pool", name));
	out->domains = read_strings(cfg, domains);
	out->hosts = (unsigned int)cfg_int(cfg, "models.%s.place.hosts", name);
	out->nversions = cfg_count(cfg, "models.%s.versions", name);
	out->versions = g_new0(struct rt_version, out->nversions);
	for (i = 0; i < out->nversions; i++) {
		read_version(cfg, name,
		    cfg_key(cfg, i, "models.%s.versions", name),
		    &out->versions[i]);
	}
	read_rollout(cfg, out);
	g_free(domains);
}

static void
read_service(const struct cfg *cfg, const char *name, struct rt_service *out)
{
	char *methods = g_strdup_printf("services.%s.idempotent_methods", name);

	copy_name(out->name, name);
	copy_name(out->pool, cfg_str(cfg, "services.%s.pool", name));
	out->idempotent_methods = read_strings(cfg, methods);
	out->stall_ms =
	    (unsigned int)cfg_int(cfg, "services.%s.stall_ms", name);
	g_free(methods);
}

static void
read_limits(const struct cfg *cfg, struct rt_workspace *out)
{
	out->requests_s = (unsigned int)cfg_int(cfg, "limits.requests_s");
	out->queue = (unsigned int)cfg_int(cfg, "limits.queue");
	out->weight = (unsigned int)cfg_int(cfg, "limits.weight");
	out->default_deadline_ms =
	    (unsigned int)cfg_int(cfg, "limits.default_deadline_ms");
	out->max_deadline_ms =
	    (unsigned int)cfg_int(cfg, "limits.max_deadline_ms");
	out->retry_budget_permille =
	    (unsigned int)cfg_int(cfg, "limits.retry_budget_permille");
}

struct rt_workspace *
rt_workspace_read(struct cfg *cfg, uint64_t version)
{
	struct rt_workspace *workspace = g_new0(struct rt_workspace, 1);
	size_t i;

	workspace->cfg = cfg;
	workspace->version = version;
	copy_name(workspace->name, cfg_str(cfg, "team"));
	read_limits(cfg, workspace);
	digest_from_hex(
	    cfg_str(cfg, "tokens.caller"), &workspace->caller_token);
	digest_from_hex(
	    cfg_str(cfg, "tokens.operator"), &workspace->operator_token);
	workspace->nmodels = cfg_count(cfg, "models");
	workspace->models = g_new0(struct rt_model, workspace->nmodels);
	for (i = 0; i < workspace->nmodels; i++)
		read_model(
		    cfg, cfg_key(cfg, i, "models"), &workspace->models[i]);
	workspace->nservices = cfg_count(cfg, "services");
	workspace->services = g_new0(struct rt_service, workspace->nservices);
	for (i = 0; i < workspace->nservices; i++) {
		read_service(
		    cfg, cfg_key(cfg, i, "services"), &workspace->services[i]);
	}
	return workspace;
}

void
rt_workspace_free(struct rt_workspace *workspace)
{
	size_t i;

	if (workspace == NULL)
		return;
	for (i = 0; i < workspace->nmodels; i++) {
		g_free(workspace->models[i].domains);
		g_free(workspace->models[i].versions);
	}
	for (i = 0; i < workspace->nservices; i++)
		g_free(workspace->services[i].idempotent_methods);
	g_free(workspace->models);
	g_free(workspace->services);
	cfg_free(workspace->cfg);
	g_free(workspace);
}

/* ------------------------------------------------------------------ */
/* Look-ups                                                            */
/* ------------------------------------------------------------------ */

const struct rt_model *
rt_workspace_model(const struct rt_workspace *workspace, const char *name)
{
	size_t i;

	for (i = 0; i < workspace->nmodels; i++) {
		if (strcmp(workspace->models[i].name, name) == 0)
			return &workspace->models[i];
	}
	return NULL;
}

const struct rt_service *
rt_workspace_service(const struct rt_workspace *workspace, const char *name)
{
	size_t i;

	for (i = 0; i < workspace->nservices; i++) {
		if (strcmp(workspace->services[i].name, name) == 0)
			return &workspace->services[i];
	}
	return NULL;
}

static bool
is_among(const char *const *list, const char *name)
{
	for (; *list != NULL; list++) {
		if (strcmp(*list, name) == 0)
			return true;
	}
	return false;
}

bool
rt_service_is_idempotent(const struct rt_service *service, const char *method)
{
	return is_among(service->idempotent_methods, method);
}

bool
rt_model_placed(
    const struct rt_model *model, const char *pool, const char *domain)
{
	if (strcmp(model->pool, pool) != 0)
		return false;
	return model->domains[0] == NULL || is_among(model->domains, domain);
}

const struct rt_version *
rt_model_version(const struct rt_model *model, const struct digest *root)
{
	size_t i;

	for (i = 0; i < model->nversions; i++) {
		if (digest_equal(&model->versions[i].root, root))
			return &model->versions[i];
	}
	return NULL;
}

static size_t
all_roots(const struct rt_model *model, struct digest *roots)
{
	size_t i, n = 0;

	if (model->rollout != NULL)
		roots[n++] = model->rollout->root;
	for (i = 0; i < model->nversions; i++) {
		if (&model->versions[i] != model->rollout)
			roots[n++] = model->versions[i].root;
	}
	return n;
}

/* The version whose range of the cumulative weights contains `draw`. */
static size_t
drawn_version(const struct rt_model *model, uint64_t draw, uint64_t total)
{
	uint64_t end = 0;
	size_t i;

	draw %= total;
	for (i = 0; i + 1 < model->nversions; i++) {
		end += model->versions[i].weight;
		if (draw < end)
			break;
	}
	return i;
}

size_t
rt_model_roots(const struct rt_model *model, uint64_t draw,
    struct digest *roots, bool *ranked)
{
	uint64_t total = 0;
	size_t i, n = 0, drawn;

	for (i = 0; i < model->nversions; i++)
		total += model->versions[i].weight;
	*ranked = total > 0;
	if (total == 0)
		return all_roots(model, roots);
	drawn = drawn_version(model, draw, total);
	roots[n++] = model->versions[drawn].root;
	for (i = 0; i < model->nversions; i++) {
		if (i != drawn && model->versions[i].weight > 0)
			roots[n++] = model->versions[i].root;
	}
	return n;
}

/* ------------------------------------------------------------------ */
/* A sidecar's targets as text                                         */
/* ------------------------------------------------------------------ */

#define INFO_FIELDS 5

void
rt_info_append(GString *out, const struct rt_target_info *target)
{
	g_string_append_printf(out, "%s%s,%s,%s,%s,%s",
	    out->len == 0 ? "" : ";", target->name,
	    target->kind == RT_ENGINE ? "engine" : "service", target->workspace,
	    target->pool, target->service);
}

static bool
read_info(const char *text, struct rt_target_info *out)
{
	char **field = g_strsplit(text, ",", INFO_FIELDS);
	bool valid = g_strv_length(field) == INFO_FIELDS;
	bool service = valid && strcmp(field[1], "service") == 0;

	valid = valid && (service || strcmp(field[1], "engine") == 0);
	if (valid) {
		copy_name(out->name, field[0]);
		out->kind = service ? RT_SERVICE : RT_ENGINE;
		copy_name(out->workspace, field[2]);
		copy_name(out->pool, field[3]);
		copy_name(out->service, field[4]);
	}
	g_strfreev(field);
	return valid;
}

void
rt_info_each(const char *info,
    void (*each)(const struct rt_target_info *target, void *ctx), void *ctx)
{
	char **targets = g_strsplit(info, ";", 0);
	struct rt_target_info target;
	size_t i;

	for (i = 0; targets[i] != NULL; i++) {
		if (read_info(targets[i], &target))
			each(&target, ctx);
	}
	g_strfreev(targets);
}
