/*
 * Structure check of received bytes before they are decoded. Private to the
 * package.
 */
#ifndef PEER_FRAME_H
#define PEER_FRAME_H

#include "peer.h"

/** Most msgpack elements in one message, over all levels. */
#define FRAME_ELEMENTS_MAX 8192

/**
 * Checks that @p bytes are exactly one complete msgpack object with at most
 * FRAME_ELEMENTS_MAX elements. msgpack_unpack_next() allocates as many elements
 * as an array header declares before it reads them, so a header of five bytes
 * could ask for gigabytes.
 */
enum peer_status frame_check(struct base_str bytes, struct base_error *err);

#endif
