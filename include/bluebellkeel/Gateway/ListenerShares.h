#ifndef BLUEBELLKEEL_GATEWAY_LISTENERSHARES_H
#define BLUEBELLKEEL_GATEWAY_LISTENERSHARES_H

#include "bluebellkeel/Core/Comparable.h"
#include "bluebellkeel/Core/MemoryBudget.h"
#include <cstddef>
#include <tuple>

namespace bluebellkeel {

/// Divides the memory for connections and requests among the listeners of a
/// gateway, so that a crowd at one of them takes nothing from the others. All
/// in bytes.
class listener_shares : public comparable<listener_shares> {
public:
  /// \param ProcessBytes memory available to the process.
  explicit listener_shares(std::size_t ProcessBytes)
      : Total(memory_budget::shareOf(ProcessBytes)) {}

  std::size_t directory() const { return Total / DirectoryDivisor; }
  std::size_t readiness() const { return Total / OperatorDivisor; }
  std::size_t counters() const { return Total / OperatorDivisor; }
  /// All that the other listeners do not need.
  std::size_t callers() const {
    return Total - directory() - readiness() - counters();
  }
  auto key() const { return std::tie(Total); }

private:
  static constexpr std::size_t DirectoryDivisor = 16;
  static constexpr std::size_t OperatorDivisor = 32;

  std::size_t Total;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_GATEWAY_LISTENERSHARES_H
