#include "bluebellkeel/Http/HttpHandler.h"
#include "absl/strings/str_cat.h"
#include <iostream>

using namespace bluebellkeel;

void http_handler::refuseForMemory(const http_request & /*Request*/,
                                   http_responder &Responder) {
  constexpr int Unavailable = 503;
  Responder.send(http_response(
      Unavailable, http_headers().with("Retry-After", "1"), "no memory\n"));
}

void http_handler::reportFailure(const http_request &Request,
                                 const std::string &What) {
  std::cerr << absl::StrCat("http: ", Request.method(), " ", Request.path(),
                            " failed: ", What, "\n");
}
