#ifndef UNITTESTS_SUPPORT_SEEDEDRANDOM_H
#define UNITTESTS_SUPPORT_SEEDEDRANDOM_H

#include "bluebellkeel/Core/RandomSource.h"
#include <random>

namespace bluebellkeel {

/// A random source that repeats its sequence for the same seed.
class seeded_random final : public random_source {
public:
  explicit seeded_random(std::uint64_t Seed) : Engine(Seed) {}

  std::uint64_t next() override { return Engine(); }

private:
  std::mt19937_64 Engine;
};

} // namespace bluebellkeel

#endif // UNITTESTS_SUPPORT_SEEDEDRANDOM_H
