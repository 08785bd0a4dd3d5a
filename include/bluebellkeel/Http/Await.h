#ifndef BLUEBELLKEEL_HTTP_AWAIT_H
#define BLUEBELLKEEL_HTTP_AWAIT_H

#include "bluebellkeel/Core/Time.h"
#include <boost/asio/async_result.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>

namespace bluebellkeel {

/// Suspends a coroutine until a callback is invoked, possibly on another
/// thread, and returns the callback's argument.
///
/// \tparam result_t type of the argument; must be default-constructible.
/// \param Start called with the callback, a std::function<void(result_t)>,
/// which must be invoked exactly once.
template <typename result_t, typename start_t>
result_t awaitCallback(boost::asio::yield_context Yield, start_t Start) {
  auto Initiate = [&](auto Handler) {
    using handler_t = decltype(Handler);
    auto Shared = std::make_shared<handler_t>(std::move(Handler));
    auto Executor = boost::asio::get_associated_executor(*Shared);
    Start([Shared, Executor](result_t Result) {
      auto Resume = [Shared, Result = std::move(Result)]() mutable {
        (*Shared)(std::move(Result));
      };
      boost::asio::post(Executor, std::move(Resume));
    });
  };
  return boost::asio::async_initiate<boost::asio::yield_context,
                                     void(result_t)>(Initiate, Yield);
}

/// Suspends a coroutine for \p Time.
inline void awaitTime(boost::asio::yield_context Yield, milliseconds Time) {
  boost::asio::steady_timer Timer(Yield.get_executor(), Time);
  boost::system::error_code Ignored;
  Timer.async_wait(Yield[Ignored]);
}

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_HTTP_AWAIT_H
