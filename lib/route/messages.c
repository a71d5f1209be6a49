/* Field tables of the messages between gateways and sidecars. */

#include "route/route.h"

#define REQUEST_ID_MAX 64
#define TEXT_MAX 512
#define EVENTS_JSON_MAX (1u << 20)
#define F(name, kind, max) MSG_FIELD(struct RT_STRUCT, name, kind, max)

#define RT_STRUCT rt_request
static const struct msg_field request_fields[] = {
	F(stream, MSG_U64, 0),
	F(request_id, MSG_STR, REQUEST_ID_MAX),
	F(attempt, MSG_U64, 0),
	F(deadline_ms, MSG_U64, 0),
	F(target, MSG_STR, RT_NAME_MAX),
	F(method, MSG_STR, RT_NAME_MAX),
	F(path, MSG_STR, RT_PATH_MAX),
	F(headers, MSG_STR, RT_HEADERS_MAX),
	F(body, MSG_BIN, RT_BODY_MAX),
	F(expect, MSG_DIGEST, 0),
	F(idempotent, MSG_U64, 1),
	F(priority, MSG_U64, 0),
	F(stall_ms, MSG_U64, 0),
	F(stall_notice, MSG_U64, 1),
};
const struct msg_desc rt_request_desc =
    MSG_DESC(RT_REQUEST, "request", struct rt_request, request_fields);
#undef RT_STRUCT

#define RT_STRUCT rt_head
static const struct msg_field head_fields[] = {
	F(stream, MSG_U64, 0),
	F(status, MSG_U64, 999),
	F(headers, MSG_STR, RT_HEADERS_MAX),
	F(loaded, MSG_DIGEST, 0),
};
const struct msg_desc rt_head_desc =
    MSG_DESC(RT_HEAD, "head", struct rt_head, head_fields);
#undef RT_STRUCT

#define RT_STRUCT rt_data
static const struct msg_field data_fields[] = {
	F(stream, MSG_U64, 0),
	F(bytes, MSG_BIN, RT_DATA_MAX),
};
const struct msg_desc rt_data_desc =
    MSG_DESC(RT_DATA, "data", struct rt_data, data_fields);
#undef RT_STRUCT

#define RT_STRUCT rt_end
static const struct msg_field end_fields[] = {
	F(stream, MSG_U64, 0),
	F(code, MSG_U64, ERR_CODES - 1),
	F(verdict, MSG_U64, VERDICT_RAN),
	F(retry_after_ms, MSG_U64, UINT32_MAX),
	F(message, MSG_STR, TEXT_MAX),
	F(running, MSG_U64, UINT32_MAX),
	F(slots, MSG_U64, UINT32_MAX),
};
const struct msg_desc rt_end_desc =
    MSG_DESC(RT_END, "end", struct rt_end, end_fields);
#undef RT_STRUCT

#define RT_STRUCT rt_cancel
static const struct msg_field cancel_fields[] = {
	F(stream, MSG_U64, 0),
};
const struct msg_desc rt_cancel_desc =
    MSG_DESC(RT_CANCEL, "cancel", struct rt_cancel, cancel_fields);
#undef RT_STRUCT

#define RT_STRUCT rt_stalled
static const struct msg_field stalled_fields[] = {
	F(stream, MSG_U64, 0),
};
const struct msg_desc rt_stalled_desc =
    MSG_DESC(RT_STALLED, "stalled", struct rt_stalled, stalled_fields);
#undef RT_STRUCT

#define RT_STRUCT rt_window
static const struct msg_field window_fields[] = {
	F(stream, MSG_U64, 0),
	F(bytes, MSG_U64, RT_WINDOW_BYTES),
};
const struct msg_desc rt_window_desc =
    MSG_DESC(RT_WINDOW_UPDATE, "window", struct rt_window, window_fields);
#undef RT_STRUCT

#define RT_STRUCT rt_watch
static const struct msg_field watch_fields[] = {
	F(ignored, MSG_U64, 0),
};
const struct msg_desc rt_watch_desc =
    MSG_DESC(RT_WATCH, "watch", struct rt_watch, watch_fields);
#undef RT_STRUCT

#define RT_STRUCT rt_target_msg
static const struct msg_field target_fields[] = {
	F(name, MSG_STR, RT_NAME_MAX),
	F(kind, MSG_U64, RT_SERVICE),
	F(workspace, MSG_STR, RT_NAME_MAX),
	F(pool, MSG_STR, RT_NAME_MAX),
	F(service, MSG_STR, RT_NAME_MAX),
	F(loaded, MSG_DIGEST, 0),
	F(accepting, MSG_U64, 1),
	F(running, MSG_U64, UINT32_MAX),
	F(slots, MSG_U64, UINT32_MAX),
	F(count, MSG_U64, 0),
	F(drain_ordered, MSG_U64, 1),
};
const struct msg_desc rt_target_desc =
    MSG_DESC(RT_TARGET, "target", struct rt_target_msg, target_fields);
#undef RT_STRUCT

#define RT_STRUCT rt_order
static const struct msg_field order_fields[] = {
	F(role, MSG_STR, RT_NAME_MAX),
	F(fence, MSG_U64, 0),
	F(order_id, MSG_STR, REQUEST_ID_MAX),
	F(kind, MSG_U64, RT_ORDER_ADMIT),
	F(target, MSG_STR, RT_NAME_MAX),
	F(model, MSG_STR, RT_NAME_MAX),
	F(version, MSG_STR, RT_NAME_MAX),
	F(root, MSG_DIGEST, 0),
	F(bytes, MSG_U64, 0),
	F(chunk_bytes, MSG_U64, 0),
};
const struct msg_desc rt_order_desc =
    MSG_DESC(RT_ORDER, "order", struct rt_order, order_fields);
#undef RT_STRUCT

#define RT_STRUCT rt_order_done
static const struct msg_field order_done_fields[] = {
	F(order_id, MSG_STR, REQUEST_ID_MAX),
	F(code, MSG_U64, ERR_CODES - 1),
	F(verdict, MSG_U64, VERDICT_RAN),
	F(message, MSG_STR, TEXT_MAX),
	F(loaded, MSG_DIGEST, 0),
};
const struct msg_desc rt_order_done_desc = MSG_DESC(
    RT_ORDER_DONE, "order_done", struct rt_order_done, order_done_fields);
#undef RT_STRUCT

#define RT_STRUCT rt_status_get
static const struct msg_field status_get_fields[] = {
	F(root, MSG_DIGEST, 0),
};
const struct msg_desc rt_status_get_desc = MSG_DESC(
    RT_STATUS_GET, "status_get", struct rt_status_get, status_get_fields);
#undef RT_STRUCT

#define RT_STRUCT rt_status
static const struct msg_field status_fields[] = {
	F(root, MSG_DIGEST, 0),
	F(phase, MSG_U64, 0),
	F(have, MSG_U64, 0),
	F(total, MSG_U64, 0),
	F(why, MSG_STR, TEXT_MAX),
};
const struct msg_desc rt_status_desc =
    MSG_DESC(RT_STATUS, "status", struct rt_status, status_fields);
#undef RT_STRUCT

#define RT_STRUCT rt_events_get
static const struct msg_field events_get_fields[] = {
	F(since, MSG_U64, 0),
};
const struct msg_desc rt_events_get_desc = MSG_DESC(
    RT_EVENTS_GET, "events_get", struct rt_events_get, events_get_fields);
#undef RT_STRUCT

#define RT_STRUCT rt_events
static const struct msg_field events_fields[] = {
	F(next, MSG_U64, 0),
	F(json, MSG_STR, EVENTS_JSON_MAX),
};
const struct msg_desc rt_events_desc =
    MSG_DESC(RT_EVENTS, "events", struct rt_events, events_fields);
#undef RT_STRUCT

#define RT_STRUCT rt_demand
static const struct msg_field demand_fields[] = {
	F(workspace, MSG_STR, RT_NAME_MAX),
	F(demand_milli_s, MSG_U64, 0),
};
const struct msg_desc rt_demand_desc =
    MSG_DESC(RT_DEMAND, "demand", struct rt_demand, demand_fields);
#undef RT_STRUCT

#define RT_STRUCT rt_claim
static const struct msg_field claim_fields[] = {
	F(number, MSG_U64, 0),
	F(key, MSG_STR, CLM_KEY_MAX),
	F(claimant, MSG_STR, CLM_CLAIMANT_MAX),
	F(body, MSG_DIGEST, 0),
	F(keep_ms, MSG_U64, UINT32_MAX),
	F(wait_ms, MSG_U64, UINT32_MAX),
};
const struct msg_desc rt_claim_desc =
    MSG_DESC(RT_CLAIM, "claim", struct rt_claim, claim_fields);
#undef RT_STRUCT

#define RT_STRUCT rt_claim_answer
static const struct msg_field claim_answer_fields[] = {
	F(number, MSG_U64, 0),
	F(result, MSG_U64, CLM_RESULTS - 1),
	F(owner, MSG_STR, RT_NAME_MAX),
	F(status, MSG_U64, 999),
	F(type, MSG_STR, CLM_TYPE_MAX),
	F(answer, MSG_STR, CLM_ANSWER_MAX),
	F(has_answer, MSG_U64, 1),
	F(digest, MSG_DIGEST, 0),
};
const struct msg_desc rt_claim_answer_desc = MSG_DESC(RT_CLAIM_ANSWER,
    "claim_answer", struct rt_claim_answer, claim_answer_fields);
#undef RT_STRUCT

#define RT_STRUCT rt_claim_settle
static const struct msg_field claim_settle_fields[] = {
	F(key, MSG_STR, CLM_KEY_MAX),
	F(claimant, MSG_STR, CLM_CLAIMANT_MAX),
	F(verdict, MSG_U64, VERDICT_RAN),
	F(status, MSG_U64, 999),
	F(type, MSG_STR, CLM_TYPE_MAX),
	F(answer, MSG_STR, CLM_ANSWER_MAX),
	F(has_answer, MSG_U64, 1),
	F(digest, MSG_DIGEST, 0),
};
const struct msg_desc rt_claim_settle_desc = MSG_DESC(RT_CLAIM_SETTLE,
    "claim_settle", struct rt_claim_settle, claim_settle_fields);
#undef RT_STRUCT
