// Public header of the crypto adapter: digests, base64, random ids and signatures with OpenSSL.
#pragma once

#include "adapters/crypto/digest.h"
#include "adapters/crypto/signature.h"
