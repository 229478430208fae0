// Public header of the crypto adapter: digests, signatures and random ids by OpenSSL.
#pragma once

#include "adapters/crypto/digest.h"
#include "adapters/crypto/signature.h"
