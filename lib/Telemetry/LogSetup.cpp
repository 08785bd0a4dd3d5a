#include "bluebellkeel/Telemetry/LogSetup.h"
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>
#include <map>
#include <string>

using namespace bluebellkeel;

bool bluebellkeel::setUpLog(std::string_view Level) {
  static const std::map<std::string_view, log4cxx::LevelPtr> Levels = {
      {"debug", log4cxx::Level::getDebug()},
      {"info", log4cxx::Level::getInfo()},
      {"warn", log4cxx::Level::getWarn()},
      {"error", log4cxx::Level::getError()}};
  auto Found = Levels.find(Level);
  if (Found == Levels.end())
    return false;
  auto Layout = std::make_shared<log4cxx::PatternLayout>(
      LOG4CXX_STR("%d{yyyy-MM-dd HH:mm:ss.SSS} %p %m%n"));
  auto Appender = std::make_shared<log4cxx::ConsoleAppender>(
      Layout, log4cxx::ConsoleAppender::getSystemErr());
  auto Root = log4cxx::Logger::getRootLogger();
  Root->addAppender(Appender);
  Root->setLevel(Found->second);
  return true;
}

void bluebellkeel::setUpEventLog() {
  auto Layout = std::make_shared<log4cxx::PatternLayout>(LOG4CXX_STR("%m%n"));
  auto Appender = std::make_shared<log4cxx::ConsoleAppender>(
      Layout, log4cxx::ConsoleAppender::getSystemOut());
  auto Logger = log4cxx::Logger::getLogger("bluebellkeel.events");
  Logger->addAppender(Appender);
  Logger->setAdditivity(false);
  Logger->setLevel(log4cxx::Level::getInfo());
}
