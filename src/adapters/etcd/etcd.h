// Public header of the etcd adapter: the store port over etcd's v3 JSON gateway.
#pragma once

#include "adapters/etcd/etcdclient.h"
