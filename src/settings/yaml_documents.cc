#include "settings/yaml_documents.h"

#include <yaml-cpp/eventhandler.h>

#include <sstream>

namespace fuchsiaspring::settings::internal {
namespace {

// Records the start of the latest document and ignores all other events.
class document_observer : public YAML::EventHandler {
 public:
  const YAML::Mark& start() const { return m_start; }

  void OnDocumentStart(const YAML::Mark& mark) override { m_start = mark; }
  void OnDocumentEnd() override {}
  void OnNull(const YAML::Mark&, YAML::anchor_t) override {}
  void OnAlias(const YAML::Mark&, YAML::anchor_t) override {}
  void OnScalar(const YAML::Mark&, const std::string&, YAML::anchor_t,
                const std::string&) override {}
  void OnSequenceStart(const YAML::Mark&, const std::string&, YAML::anchor_t,
                       YAML::EmitterStyle::value) override {}
  void OnSequenceEnd() override {}
  void OnMapStart(const YAML::Mark&, const std::string&, YAML::anchor_t,
                  YAML::EmitterStyle::value) override {}
  void OnMapEnd() override {}

 private:
  YAML::Mark m_start;
};

}  // namespace

std::optional<YAML::Mark> second_document(const std::string& text) {
  std::istringstream stream(text);
  YAML::Parser parser(stream);
  document_observer observer;
  if (!parser.HandleNextDocument(observer) || !parser.HandleNextDocument(observer)) {
    return std::nullopt;
  }
  return observer.start();
}

}  // namespace fuchsiaspring::settings::internal
