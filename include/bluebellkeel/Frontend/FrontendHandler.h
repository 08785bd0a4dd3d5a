#ifndef BLUEBELLKEEL_FRONTEND_FRONTENDHANDLER_H
#define BLUEBELLKEEL_FRONTEND_FRONTENDHANDLER_H

#include "bluebellkeel/Frontend/FrontendContext.h"
#include "bluebellkeel/Http/HttpHandler.h"
#include <memory>
#include <vector>

namespace bluebellkeel {

class endpoint;

/// Dispatches each request of a caller or an operator to its endpoint.
class frontend_handler final : public http_handler {
public:
  explicit frontend_handler(frontend_context &Context);
  ~frontend_handler() override;

  void handle(const http_request &Request, http_responder &Responder,
              boost::asio::yield_context Yield) override;

private:
  std::vector<std::unique_ptr<endpoint>> Endpoints;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_FRONTEND_FRONTENDHANDLER_H
