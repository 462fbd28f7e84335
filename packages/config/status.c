/* Descriptions of status codes. */
#include "config.h"

const char *config_strerror(enum config_status status)
{
	switch (status) {
	case CONFIG_OK:
		return "success";
	case CONFIG_ERR_SYNTAX:
		return "not a valid document";
	case CONFIG_ERR_SCHEMA:
		return "schema not supported";
	case CONFIG_ERR_PROBLEMS:
		return "the configuration has problems";
	case CONFIG_ERR_MISSING:
		return "part not available";
	case CONFIG_ERR_DIGEST:
		return "part does not match its hash";
	case CONFIG_ERR_INVALID:
		return "invalid argument";
	}
	return "unknown status";
}
