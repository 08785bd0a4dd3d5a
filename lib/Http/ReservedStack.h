#ifndef BLUEBELLKEEL_LIB_HTTP_RESERVEDSTACK_H
#define BLUEBELLKEEL_LIB_HTTP_RESERVEDSTACK_H

#include <boost/context/protected_fixedsize_stack.hpp>
#include <cstddef>
#include <new>
#include <optional>

namespace bluebellkeel {

/// The stack of one coroutine, mapped before the coroutine is started, so that
/// a failure concerns nobody else. The coroutine that gets it unmaps it.
class reserved_stack {
public:
  using stack_context = boost::context::stack_context;

  /// Returns an empty value if \p Bytes cannot be mapped.
  static std::optional<reserved_stack> map(std::size_t Bytes) {
    boost::context::protected_fixedsize_stack Allocator(Bytes);
    try {
      return reserved_stack(Allocator, Allocator.allocate());
    } catch (const std::bad_alloc &) {
      return std::nullopt;
    }
  }

  // Boost.Context prescribes these functions.
  stack_context allocate() const { return Stack; }
  void deallocate(stack_context &Unused) noexcept {
    Allocator.deallocate(Unused);
  }

private:
  reserved_stack(const boost::context::protected_fixedsize_stack &Allocator,
                 const stack_context &Stack)
      : Allocator(Allocator), Stack(Stack) {}

  boost::context::protected_fixedsize_stack Allocator;
  stack_context Stack;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_LIB_HTTP_RESERVEDSTACK_H
