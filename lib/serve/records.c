/* Typed records: lookup and freeing. */

#include <string.h>

#include "serve/records.h"

static void
route_clear(struct sv_route *r)
{
	size_t i;

	for (i = 0; i < r->nshares; i++)
		g_free(r->shares[i].service);
	g_free(r->shares);
	g_free(r->name);
	g_free(r->host);
	g_free(r->prefix);
}

bool
sv_layers_complete(const struct sv_layers *l, unsigned int n)
{
	return l->from == 0 && (l->to == 0 || l->to >= n);
}

void
sv_config_free(struct sv_config *c)
{
	size_t i;

	if (c == NULL)
		return;
	for (i = 0; i < c->nroutes; i++)
		route_clear(&c->routes[i]);
	for (i = 0; i < c->nservices; i++) {
		g_free(c->services[i].name);
		g_free(c->services[i].health_path);
		g_free(c->services[i].origin);
		g_free(c->services[i].domain);
	}
	for (i = 0; i < c->nworkspaces; i++) {
		g_free(c->workspaces[i].name);
		g_strfreev(c->workspaces[i].keys);
	}
	g_free(c->routes);
	g_free(c->services);
	g_free(c->workspaces);
	g_free(c);
}

const struct sv_service *
sv_config_service(const struct sv_config *c, const char *name)
{
	size_t i;

	for (i = 0; c != NULL && i < c->nservices; i++) {
		if (strcmp(c->services[i].name, name) == 0)
			return &c->services[i];
	}
	return NULL;
}

static bool
uses_service(const struct sv_route *route, const char *service)
{
	size_t i;

	for (i = 0; i < route->nshares; i++) {
		if (strcmp(route->shares[i].service, service) == 0)
			return true;
	}
	return false;
}

bool
sv_config_may_cut(const struct sv_config *c, const char *service)
{
	const struct sv_route *route;
	size_t i;

	for (i = 0; i < c->nroutes; i++) {
		route = &c->routes[i];
		if (!uses_service(route, service))
			continue;
		if (route->kind != SV_STREAM || !route->resumable ||
		    route->attempts < 2)
			return false;
	}
	return true;
}
