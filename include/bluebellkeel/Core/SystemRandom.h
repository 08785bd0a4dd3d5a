#ifndef BLUEBELLKEEL_CORE_SYSTEMRANDOM_H
#define BLUEBELLKEEL_CORE_SYSTEMRANDOM_H

#include "bluebellkeel/Core/RandomSource.h"

namespace bluebellkeel {

/// Cryptographically secure random numbers from OpenSSL. Thread-safe.
class system_random final : public random_source {
public:
  std::uint64_t next() override;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_CORE_SYSTEMRANDOM_H
