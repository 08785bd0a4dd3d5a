#ifndef BLUEBELLKEEL_LIB_FRONTEND_DELTATEXT_H
#define BLUEBELLKEEL_LIB_FRONTEND_DELTATEXT_H

#include <string>

namespace bluebellkeel {

/// The text that one piece of a streamed answer adds; empty for none.
std::string deltaText(const std::string &Payload);

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_LIB_FRONTEND_DELTATEXT_H
