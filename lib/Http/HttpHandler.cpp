#include "bluebellkeel/Http/HttpHandler.h"
#include "absl/strings/str_cat.h"
#include <iostream>

using namespace bluebellkeel;

void http_handler::reportFailure(const http_request &Request,
                                 const std::string &What) {
  std::cerr << absl::StrCat("http: ", Request.method(), " ", Request.path(),
                            " failed: ", What, "\n");
}
