#ifndef BLUEBELLKEEL_CORE_COMPARABLE_H
#define BLUEBELLKEEL_CORE_COMPARABLE_H

namespace bluebellkeel {

/// CRTP base class that defines all six comparison operators of a value type.
///
/// \tparam value_t the derived type; its key() returns the members to compare,
/// either a single member or a std::tie of several.
template <typename value_t> class comparable {
  friend bool operator==(const value_t &L, const value_t &R) {
    return L.key() == R.key();
  }
  friend bool operator!=(const value_t &L, const value_t &R) {
    return !(L == R);
  }
  friend bool operator<(const value_t &L, const value_t &R) {
    return L.key() < R.key();
  }
  friend bool operator>(const value_t &L, const value_t &R) { return R < L; }
  friend bool operator<=(const value_t &L, const value_t &R) {
    return !(R < L);
  }
  friend bool operator>=(const value_t &L, const value_t &R) {
    return !(L < R);
  }
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_CORE_COMPARABLE_H
