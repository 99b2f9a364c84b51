#include "apps/node/replica_notices.h"

#include "fuchsiaspring/base/time.h"
#include "fuchsiaspring/node/notice_rule.h"

namespace fuchsiaspring::node_app {
namespace {

void report_leaving(node_context& context, const placement::choice& chosen,
                    std::string_view request_id) {
  const base::duration bound = context.scheduler.placer().drain_bound();
  context.metrics.count("fuchsia_replicas_leaving_total",
                        "Replicas that stated in an answer that they leave.");
  context.log.write(telemetry::level::info, "gateway", "replica_leaving",
                    {{"replica", chosen.replica_id},
                     {"started_at_ms", chosen.started_at_ms},
                     {"until_ms", base::wall_clock_ms() +
                                      static_cast<std::uint64_t>(base::to_milliseconds(bound))},
                     {"id", request_id}});
}

void report_hold(node_context& context, const placement::choice& chosen, base::duration stated,
                 const placement::notice_change& change, std::string_view request_id) {
  context.metrics.count("fuchsia_replica_holds_total",
                        "Pauses for which replicas asked in their answers.");
  context.log.write(
      telemetry::level::info, "gateway", "replica_held",
      {{"replica", chosen.replica_id},
       {"started_at_ms", chosen.started_at_ms},
       {"until_ms", base::wall_clock_ms() +
                        static_cast<std::uint64_t>(base::to_milliseconds(change.hold_left))},
       {"stated_ms", stated},
       {"is_cut", change.is_hold_cut},
       {"id", request_id}});
}

}  // namespace

placement::replica_notice record_notice(node_context& context, const placement::choice& chosen,
                                        unsigned status, const node::response_metadata& metadata,
                                        std::string_view request_id) {
  if (node::has_unreadable_hold(status, metadata)) {
    context.log.write(telemetry::level::warn, "gateway", "retry_after_ignored",
                      {{"replica", chosen.replica_id},
                       {"value", metadata.unreadable_retry_after},
                       {"id", request_id}});
  }
  const placement::replica_notice notice = node::read_notice(status, metadata);
  const placement::notice_change change = context.scheduler.placer().on_notice(
      {chosen.replica_id, chosen.started_at_ms}, notice, base::boot_clock::now());
  if (change.has_begun_leaving) {
    report_leaving(context, chosen, request_id);
  }
  if (change.has_begun_hold) {
    report_hold(context, chosen, *notice.hold, change, request_id);
  }
  return notice;
}

}  // namespace fuchsiaspring::node_app
