// Public header of the store adapter: the key-value store by etcd's v3 JSON gateway.
#pragma once

#include "adapters/etcd/etcdclient.h"
