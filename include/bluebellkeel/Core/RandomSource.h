#ifndef BLUEBELLKEEL_CORE_RANDOMSOURCE_H
#define BLUEBELLKEEL_CORE_RANDOMSOURCE_H

#include <cstdint>
#include <string>

namespace bluebellkeel {

/// Source of random numbers; tests replace it with a seeded one.
class random_source {
public:
  virtual ~random_source() = default;

  /// Returns a uniformly distributed number from 0 to 2^64-1.
  virtual std::uint64_t next() = 0;

  /// Returns a number from 0 to \p Bound - 1, or 0 if \p Bound is 0.
  std::uint64_t uniformBelow(std::uint64_t Bound) {
    return Bound == 0 ? 0 : next() % Bound;
  }

  /// Returns a number from 0 (inclusive) to 1 (exclusive).
  double uniformReal() {
    constexpr double Range = 18446744073709551616.0;
    return static_cast<double>(next()) / Range;
  }

  /// Returns 128 random bits as 32 hexadecimal digits.
  std::string hexToken();
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_CORE_RANDOMSOURCE_H
