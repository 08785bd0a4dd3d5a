#ifndef UTILS_SERVER_SERVESTANDIN_H
#define UTILS_SERVER_SERVESTANDIN_H

#include "bluebellkeel/Http/HttpHandler.h"
#include <memory>
#include <string>

namespace bluebellkeel {

/// Serves \p Standin at \p Address until SIGTERM or SIGINT; returns the exit
/// code of the program. Without a stand-in or with a wrong address the usage is
/// printed.
int serveStandin(const std::unique_ptr<http_handler> &Standin,
                 const std::string &Address);

} // namespace bluebellkeel

#endif // UTILS_SERVER_SERVESTANDIN_H
