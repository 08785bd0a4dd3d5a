#ifndef BLUEBELLKEEL_CORE_COMPARABLE_H
#define BLUEBELLKEEL_CORE_COMPARABLE_H

namespace bluebellkeel {

/// Gives a value type all six comparisons.
///
/// \tparam value_t the deriving type; its key() returns what is compared, a
/// single member or a std::tie of several.
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
