// Implementation of verify().
#pragma once

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "catalog.pb.h"
#include "fuchsiaspring/settings/yaml_reader.h"

namespace fuchsiaspring::catalog::internal {

std::string in_quotes(const std::string& text);

// Collects the findings of one set. run() may be called once. Not thread-safe.
class verifier {
 public:
  // Returns the text by which a message refers to the location of another key.
  using location_text = std::function<std::string(const std::string& key)>;

  explicit verifier(const schema::Catalog& objects, location_text describe_location = {})
      : m_objects(objects), m_describe_location(std::move(describe_location)) {}

  std::vector<settings::finding> run();

 private:
  using text_list = google::protobuf::RepeatedPtrField<std::string>;
  // Key of the first object with each name.
  using name_table = std::map<std::string, std::string, std::less<>>;

  void error(const std::string& key, std::string message);
  void warning(const std::string& key, std::string message);

  void check_ranges(const google::protobuf::Message& message, const std::string& key);
  void check_name(const std::string& name, const std::string& key);
  void check_reference(const name_table& table, const char* kind, const std::string& name,
                       const std::string& key);
  template <typename List>
  void collect_names(const List& list, const std::string& list_key, const char* kind,
                     name_table& table);
  void check_distinct(const text_list& list, const std::string& key, const char* kind);

  void collect_all_names();
  void check_required_lists();
  void check_tiers();
  void check_service_levels();
  void check_classes();
  void check_class_pool(const schema::RequestClass& item, const std::string& key);
  void check_teams();
  void check_tokens(const schema::Team& team, const std::string& key, name_table& digests);
  void check_guarantees(const schema::Team& team, const std::string& key);
  void check_pools();
  void check_models(const schema::Pool& pool, const std::string& key, name_table& models);
  void check_upstream(const schema::Upstream& upstream, const std::string& key,
                      name_table& addresses);
  void check_domains();
  void check_vms();
  void check_unused();
  void check_size();

  const schema::Catalog& m_objects;
  location_text m_describe_location;
  std::vector<settings::finding> m_findings;
  name_table m_tiers;
  name_table m_levels;
  name_table m_classes;
  name_table m_teams;
  name_table m_pools;
  name_table m_upstreams;
  name_table m_domains;
  name_table m_vms;
};

}  // namespace fuchsiaspring::catalog::internal
