#ifndef BLUEBELLKEEL_CORE_RECENTSET_H
#define BLUEBELLKEEL_CORE_RECENTSET_H

#include <cstddef>
#include <set>
#include <utility>

namespace bluebellkeel {

/// A set of recently added values with bounded size. The values are kept in two
/// generations of half the maximum size each; when the current generation is
/// full, the previous one is discarded.
template <typename value_t> class recent_set {
public:
  explicit recent_set(std::size_t MaxSize) : GenerationSize(MaxSize / 2) {}

  void add(const value_t &Value) {
    if (CurrentGeneration.size() >= GenerationSize &&
        CurrentGeneration.count(Value) == 0) {
      PreviousGeneration = std::move(CurrentGeneration);
      CurrentGeneration.clear();
    }
    CurrentGeneration.insert(Value);
  }
  bool contains(const value_t &Value) const {
    return CurrentGeneration.count(Value) > 0 ||
           PreviousGeneration.count(Value) > 0;
  }
  std::size_t size() const {
    return CurrentGeneration.size() + PreviousGeneration.size();
  }

private:
  std::size_t GenerationSize;
  std::set<value_t> CurrentGeneration;
  std::set<value_t> PreviousGeneration;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_CORE_RECENTSET_H
