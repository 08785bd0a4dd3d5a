#ifndef BLUEBELLKEEL_CORE_RECENTMAP_H
#define BLUEBELLKEEL_CORE_RECENTMAP_H

#include <cstddef>
#include <map>
#include <optional>
#include <utility>

namespace bluebellkeel {

/// A map of recently set keys with bounded size. The entries are kept in two
/// generations of half the maximum size each; when the current generation is
/// full, the previous one is discarded.
template <typename key_t, typename value_t> class recent_map {
public:
  explicit recent_map(std::size_t MaxSize) : GenerationSize(MaxSize / 2) {}

  void set(const key_t &Key, value_t Value) {
    if (CurrentGeneration.size() >= GenerationSize &&
        CurrentGeneration.count(Key) == 0) {
      PreviousGeneration = std::move(CurrentGeneration);
      CurrentGeneration.clear();
    }
    CurrentGeneration.insert_or_assign(Key, std::move(Value));
  }
  /// Returns the value that was last set for \p Key; empty if there is none or
  /// it was discarded.
  std::optional<value_t> find(const key_t &Key) const {
    for (const generation *Generation :
         {&CurrentGeneration, &PreviousGeneration}) {
      auto Found = Generation->find(Key);
      if (Found != Generation->end())
        return Found->second;
    }
    return std::nullopt;
  }
  std::size_t size() const {
    return CurrentGeneration.size() + PreviousGeneration.size();
  }

private:
  using generation = std::map<key_t, value_t>;

  std::size_t GenerationSize;
  generation CurrentGeneration;
  generation PreviousGeneration;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_CORE_RECENTMAP_H
