/* Check of answers that no reader of this daemon has checked. */
#include "answer_check.h"
#include "http.h"

bool answer_is_response(uint32_t status, const struct peer_headers *headers)
{
	size_t i;

	if (status > INT32_MAX || !http_status_is_final((int)status))
		return false;
	for (i = 0; i < headers->count; i++)
		if (!http_header_is_valid(headers->items[i].name,
					  headers->items[i].value))
			return false;
	return true;
}
