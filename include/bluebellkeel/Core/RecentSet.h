#ifndef BLUEBELLKEEL_CORE_RECENTSET_H
#define BLUEBELLKEEL_CORE_RECENTSET_H

#include <cstddef>
#include <set>
#include <utility>

namespace bluebellkeel {

/// Remembers the values that were added lately, in bounded memory: of many, it
/// forgets the older half at once.
template <typename value_t> class recent_set {
public:
  explicit recent_set(std::size_t Most) : Half(Most / 2) {}

  void add(const value_t &Value) {
    if (Newer.size() >= Half && Newer.count(Value) == 0) {
      Older = std::move(Newer);
      Newer.clear();
    }
    Newer.insert(Value);
  }
  bool contains(const value_t &Value) const {
    return Newer.count(Value) > 0 || Older.count(Value) > 0;
  }
  std::size_t size() const { return Newer.size() + Older.size(); }

private:
  std::size_t Half;
  std::set<value_t> Newer;
  std::set<value_t> Older;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_CORE_RECENTSET_H
