#ifndef UNITTESTS_ADAPTER_CALLBACKHANDLER_H
#define UNITTESTS_ADAPTER_CALLBACKHANDLER_H

#include "bluebellkeel/Http/HttpHandler.h"
#include <functional>

namespace bluebellkeel {

/// An HTTP handler that calls a function of the test.
class callback_handler final : public http_handler {
public:
  using action = std::function<void(const http_request &, http_responder &,
                                    boost::asio::yield_context)>;

  explicit callback_handler(action Action) : Action(std::move(Action)) {}

  void handle(const http_request &Request, http_responder &Responder,
              boost::asio::yield_context Yield) override {
    Action(Request, Responder, Yield);
  }

private:
  action Action;
};

} // namespace bluebellkeel

#endif // UNITTESTS_ADAPTER_CALLBACKHANDLER_H
