#include "limits/loan_inquiry.h"

#include <algorithm>
#include <set>

namespace fuchsiaspring::limits::internal {
namespace {

// The VMs that must confirm that they hold no old loan. Nothing until one statement lists all VMs
// that left.
std::optional<std::set<std::string>> possible_borrowers(
    const std::vector<std::string>& users,
    const std::map<std::string, loan_statement>& statements) {
  std::set<std::string> borrowers(users.begin(), users.end());
  bool complete = false;
  for (const auto& [name, statement] : statements) {
    if (statement.knows_departed) {
      complete = true;
      borrowers.insert(statement.departed.begin(), statement.departed.end());
    }
  }
  return complete ? std::optional(borrowers) : std::nullopt;
}

}  // namespace

std::vector<outgoing_message> loan_inquiry::tick(const view_version& view,
                                                 const std::vector<std::string>& users,
                                                 base::time_point now) {
  if (view != m_view) {
    m_view = view;
    m_statements.clear();
    m_next_request_at = now;
  }
  if (now < m_next_request_at) {
    return {};
  }
  m_next_request_at = now + m_settings.settle_interval;
  std::set<std::string> recipients(users.begin(), users.end());
  if (const auto borrowers = possible_borrowers(users, m_statements)) {
    recipients = *borrowers;
  }
  std::vector<outgoing_message> out;
  for (const std::string& name : recipients) {
    if (name != m_identity.self) {
      out.push_back(
          {name, loan_inquiry_request{.view = m_view, .incarnation = m_identity.incarnation}});
    }
  }
  return out;
}

void loan_inquiry::on_statement(const std::string& from, const loan_statement& statement) {
  if (statement.incarnation == m_identity.incarnation && statement.view == m_view) {
    m_statements[from] = statement;
  }
}

bool loan_inquiry::is_finished(const std::vector<std::string>& users) const {
  const auto borrowers = possible_borrowers(users, m_statements);
  return borrowers && std::ranges::all_of(*borrowers, [&](const std::string& name) {
           const auto found = m_statements.find(name);
           return name == m_identity.self ||
                  (found != m_statements.end() && found->second.open == 0);
         });
}

}  // namespace fuchsiaspring::limits::internal
