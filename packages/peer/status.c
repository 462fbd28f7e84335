/* Names of status codes and message types. */
#include "peer.h"

const char *peer_strerror(enum peer_status status)
{
	switch (status) {
	case PEER_OK:
		return "success";
	case PEER_ERR_MALFORMED:
		return "malformed message";
	case PEER_ERR_UNKNOWN_TYPE:
		return "unknown message type";
	case PEER_ERR_TOO_LARGE:
		return "message exceeds a size limit";
	case PEER_ERR_UNREACHABLE:
		return "peer not connected";
	case PEER_ERR_BUSY:
		return "send queue full";
	case PEER_ERR_INVALID:
		return "invalid setting";
	case PEER_ERR_SYSTEM:
		return "system call failed";
	}
	return "unknown status";
}

const char *peer_message_type_name(enum peer_message_type type)
{
	static const char *const names[PEER_TYPE_END] = {
		[PEER_HELLO] = "hello",
		[PEER_HEARTBEAT] = "heartbeat",
		[PEER_REQUEST] = "request",
		[PEER_CANCEL] = "cancel",
		[PEER_ANSWER] = "answer",
		[PEER_CLAIM] = "claim",
		[PEER_CLAIM_ANSWER] = "claim_answer",
		[PEER_COMPLETE] = "complete",
		[PEER_RELEASE] = "release",
		[PEER_RATE_ASK] = "rate_ask",
		[PEER_RATE_GRANT] = "rate_grant",
		[PEER_SUSPECT] = "suspect",
		[PEER_SUSPECT_ASK] = "suspect_ask",
		[PEER_SUSPECT_ANSWER] = "suspect_answer",
		[PEER_CONFIG_ANNOUNCE] = "config_announce",
		[PEER_CONFIG_GET] = "config_get",
		[PEER_CONFIG_VALUE] = "config_value",
	};

	if (type < PEER_HELLO || type >= PEER_TYPE_END)
		return "unknown";
	return names[type];
}
