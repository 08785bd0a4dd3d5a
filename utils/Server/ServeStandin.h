#ifndef UTILS_SERVER_SERVESTANDIN_H
#define UTILS_SERVER_SERVESTANDIN_H

#include "bluebellkeel/Http/HttpHandler.h"
#include <memory>
#include <string>

namespace bluebellkeel {

/// Serves \p Standin at \p Address until SIGTERM or SIGINT and returns the exit
/// code of the program. Prints the usage if \p Standin is null or \p Address is
/// invalid.
int serveStandin(const std::unique_ptr<http_handler> &Standin,
                 const std::string &Address);

} // namespace bluebellkeel

#endif // UTILS_SERVER_SERVESTANDIN_H
