// Public header of the peers adapter: messages between daemons by ZeroMQ and protobuf.
#pragma once

#include "adapters/peers/messagecodec.h"
#include "adapters/peers/peersocket.h"
