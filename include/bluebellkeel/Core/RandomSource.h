#ifndef BLUEBELLKEEL_CORE_RANDOMSOURCE_H
#define BLUEBELLKEEL_CORE_RANDOMSOURCE_H

#include <cstdint>
#include <string>

namespace bluebellkeel {

/// Where decisions take chance from, so that tests can fix a seed.
class random_source {
public:
  virtual ~random_source() = default;

  /// A number from all of 0 to 2^64-1.
  virtual std::uint64_t next() = 0;

  /// A number from 0 to \p Bound - 1; 0 for a bound of 0.
  std::uint64_t uniformBelow(std::uint64_t Bound) {
    return Bound == 0 ? 0 : next() % Bound;
  }

  /// A number from 0 up to, not including, 1.
  double uniformReal() {
    constexpr double Range = 18446744073709551616.0;
    return static_cast<double>(next()) / Range;
  }

  /// 128 random bits as 32 hexadecimal digits.
  std::string hexToken();
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_CORE_RANDOMSOURCE_H
