#ifndef BLUEBELLKEEL_CORE_SYSTEMRANDOM_H
#define BLUEBELLKEEL_CORE_SYSTEMRANDOM_H

#include "bluebellkeel/Core/RandomSource.h"

namespace bluebellkeel {

/// Unpredictable numbers from OpenSSL; safe to use from several threads.
class system_random final : public random_source {
public:
  std::uint64_t next() override;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_CORE_SYSTEMRANDOM_H
