// Public header of the peers adapter: messages between daemons over ZeroMQ, encoded with protobuf.
#pragma once

#include "adapters/peers/compression.h"
#include "adapters/peers/messagecodec.h"
#include "adapters/peers/peersocket.h"
