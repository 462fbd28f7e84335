/*
 * Structure check of received messages before they are decoded. Private to the
 * package.
 */
#ifndef PEER_FRAME_H
#define PEER_FRAME_H

#include "peer.h"

/** Maximum number of msgpack elements in a message, over all levels. */
#define FRAME_ELEMENTS_MAX 8192

/**
 * Checks that @p bytes are exactly one complete msgpack object with at most
 * FRAME_ELEMENTS_MAX elements. msgpack_unpack_next() allocates as many elements
 * as an array header declares before it reads them, so without this check a
 * header of five bytes could make it allocate gigabytes.
 * @return PEER_ERR_MALFORMED or PEER_ERR_TOO_LARGE; @p err may be NULL.
 */
enum peer_status frame_check(struct base_str bytes, struct base_error *err);

#endif
