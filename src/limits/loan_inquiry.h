// Determines after a restart whether credits that this VM lent before are still in use.
//
// The restarted VM sends an inquiry to every VM that may have borrowed from it. The statement in
// reply guarantees that no loan of an earlier incarnation starts new work, and gives the number of
// credits of such loans that are still in use. When all statements give 0, the VM can use its share
// without waiting for the longest request.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "fuchsiaspring/base/time.h"
#include "fuchsiaspring/limits/share_ledger.h"
#include "fuchsiaspring/limits/share_messages.h"

namespace fuchsiaspring::limits::internal {

class loan_inquiry {
 public:
  loan_inquiry(const ledger_identity& identity, const ledger_settings& settings)
      : m_identity(identity), m_settings(settings) {}

  // Returns the inquiries that are due. A change of `view` discards the statements.
  std::vector<outgoing_message> tick(const view_version& view,
                                     const std::vector<std::string>& users, base::time_point now);

  void on_statement(const std::string& from, const loan_statement& statement);

  // Whether all possible borrowers have stated that no credit is in use. These are the users and
  // the VMs that left recently, as listed by a statement with `knows_departed`.
  bool is_finished(const std::vector<std::string>& users) const;

 private:
  ledger_identity m_identity;
  ledger_settings m_settings;
  view_version m_view;
  std::map<std::string, loan_statement> m_statements;
  base::time_point m_next_request_at{};
};

}  // namespace fuchsiaspring::limits::internal
