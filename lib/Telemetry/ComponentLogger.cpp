#include "bluebellkeel/Telemetry/ComponentLogger.h"
#include <log4cxx/logger.h>

using namespace bluebellkeel;

static log4cxx::LoggerPtr loggerOf(const std::string &Prefix) {
  return log4cxx::Logger::getLogger("bluebellkeel." + Prefix);
}

static std::string line(const std::string &Prefix, std::string_view Message) {
  return Prefix + ": " + std::string(Message);
}

component_logger::component_logger(std::string Prefix)
    : Prefix(std::move(Prefix)) {}

void component_logger::debug(std::string_view Message) const {
  LOG4CXX_DEBUG(loggerOf(Prefix), line(Prefix, Message));
}

void component_logger::info(std::string_view Message) const {
  LOG4CXX_INFO(loggerOf(Prefix), line(Prefix, Message));
}

void component_logger::warn(std::string_view Message) const {
  LOG4CXX_WARN(loggerOf(Prefix), line(Prefix, Message));
}

void component_logger::error(std::string_view Message) const {
  LOG4CXX_ERROR(loggerOf(Prefix), line(Prefix, Message));
}
