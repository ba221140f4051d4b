"""Decides from the record of a run which rules were broken.

Each clause is a function from the record and the deployment to a list of findings. A clause with a
bound above zero breaks its rule only if there are more findings than the bound.
"""

import signal

import sidecar_mesh as mesh

# The judge reads times from one process, whose own lateness is below this.
CLOCK_SLACK_S = 0.05
PROMISES = (408, 421, 429, 503)


def limit_of(exchange, deployment):
    """When the caller's deadline or the timeout of a version that may be in force is reached."""
    factors = [factor for number, (at, factor) in enumerate(deployment.versions)
               if at <= exchange.sent and not any(
                   later + mesh.CONFIG_APPLY_S < exchange.sent
                   for later, _ in deployment.versions[number + 1:])]
    timeout = exchange.cls.timeout * min(factors)
    return exchange.sent + min(exchange.cls.deadline, timeout) - CLOCK_SLACK_S


def cut_by_node(exchange, deployment):
    return (exchange.closed is not None and exchange.closed_by.startswith("node")
            and exchange.last_byte is not None
            and exchange.closed < limit_of(exchange, deployment))


def upstream_broke_off(exchange):
    return any(run[2] in ("answer lost", "upstream ended") for run in exchange.runs)


def scopes_of(exchange):
    """The node that took a request, its upstreams and the nodes beside them."""
    scopes = {"all", exchange.node}
    for _, upstream in exchange.arrivals:
        scopes |= {upstream.instance, upstream.node_name}
    return scopes


def unplanned(record, exchange, end):
    return record.impaired(scopes_of(exchange), exchange.sent - mesh.STABLE_WINDOW_S, end)


def in_touch(record, node, at):
    scopes = {"all", "store", node, f"planned {node}"}
    return not record.impaired(scopes, at - mesh.STABLE_WINDOW_S, at)


def lost_on_kept_connection(record, deployment):
    return [each for each in record.exchanges.values()
            if each.kept and cut_by_node(each, deployment) and each.arrivals
            and all(upstream.sound for _, upstream in each.arrivals)
            and not upstream_broke_off(each) and in_touch(record, each.node, each.closed)]


def signals(record, number):
    return [(at, fields["node"]) for at, name, fields in record.events
            if name == "signal" and fields["number"] == number]


def passed_on_or_slack_over(record, exchange):
    if exchange.arrivals:
        return True
    waited = exchange.closed - exchange.last_byte - record.lag(exchange.last_byte, exchange.closed)
    # A link accepts connections for a node that has closed its listener, so that only what a node
    # passed on shows that it had read the request.
    return not exchange.proxied and waited > mesh.LOSS_SLACK_S


def at_work_in_last_sixth(exchange, term, at):
    working = any(run[1] is None or run[1] >= at - CLOCK_SLACK_S for run in exchange.runs)
    return (working and at >= term + mesh.GRACE_S * 5 / 6 - CLOCK_SLACK_S
            and exchange.sent <= term + 3)


def lost_around_sigterm(record, deployment):
    found = []
    for each in record.exchanges.values():
        if not cut_by_node(each, deployment) or upstream_broke_off(each) or not passed_on_or_slack_over(record, each):
            continue
        for term, node in signals(record, 15):
            if (node == each.node and term <= each.closed <= term + mesh.GRACE_S + 1
                    and not at_work_in_last_sixth(each, term, each.closed)
                    and not unplanned(record, each, each.closed)):
                found.append(each)
                break
    return found


def answered_in_place_after_sigterm(record, deployment):
    found = []
    for each in record.exchanges.values():
        if each.answered is None or each.signed or not each.ran() or upstream_broke_off(each):
            continue
        if each.answered >= limit_of(each, deployment):
            continue
        for term, node in signals(record, 15):
            if (node == each.node and term <= each.answered <= term + mesh.GRACE_S + 1
                    and not at_work_in_last_sixth(each, term, each.answered)
                    and not unplanned(record, each, each.answered)):
                found.append(each)
                break
    return found


def lost_around_sighup(record, deployment):
    return [each for each in record.exchanges.values()
            if cut_by_node(each, deployment) and not upstream_broke_off(each) and passed_on_or_slack_over(record, each)
            and not unplanned(record, each, each.closed)
            and not record.impaired({f"planned {each.node}"}, each.sent, each.closed)
            and any(node == each.node and hup <= each.closed
                    and each.sent <= hup + mesh.CONFIG_APPLY_S
                    for hup, node in signals(record, 1))]


def lost_around_version(record, deployment):
    """Cuts beside a configuration count if they are over three times as frequent as otherwise."""
    windows = [(at, at + mesh.CONFIG_APPLY_S + 1) for at, _ in deployment.versions]
    inside, outside = [], 0
    for each in record.exchanges.values():
        if (not cut_by_node(each, deployment) or upstream_broke_off(each)
                or not passed_on_or_slack_over(record, each) or unplanned(record, each, each.closed)
                or record.impaired({f"planned {each.node}"}, each.sent, each.closed)):
            continue
        if any(start <= each.closed <= end for start, end in windows):
            if each.closed - each.sent < 0.7 * (limit_of(each, deployment) - each.sent):
                inside.append(each)
        else:
            outside += 1
    covered = covered_seconds(windows, record.now())
    rest = max(record.now() - covered, 1.0)
    return inside if len(inside) / max(covered, 1.0) > 3 * outside / rest else []


def covered_seconds(windows, end):
    covered, last = 0.0, 0.0
    for start, stop in sorted(windows):
        start, stop = max(start, last), min(stop, end)
        covered += max(stop - start, 0.0)
        last = max(last, stop)
    return covered


def ran_twice(record, deployment):
    return [each for each in record.exchanges.values()
            if not each.cls.repeatable and len(each.runs) > 1]


def refused_although_run(record, deployment):
    return [each for each in record.exchanges.values()
            if not each.cls.repeatable and not each.signed and each.status in PROMISES
            and each.ran()]


def wrong_response(record, deployment):
    return [each for each in record.exchanges.values() if each.fault]


def reached_after_caller_left(record, deployment):
    return [each for each in record.exchanges.values()
            if each.closed_by == "caller" and in_touch(record, each.node, each.closed + 0.5)
            and any(at > each.closed + 0.5 for at, _ in each.arrivals)]


def reached_leaving_upstream(record, deployment):
    found = []
    for each in record.exchanges.values():
        for at, upstream in each.arrivals:
            acked = upstream.drain_acked
            if (acked is not None and at > acked - record.start + mesh.DRAIN_S
                    and not unplanned(record, each, at)
                    and in_touch(record, each.node, at)
                    and in_touch(record, upstream.node_name, at)):
                found.append(each)
    return found


def named(events, name):
    return [(at, fields) for at, event, fields in events if event == name]


def ended_by_itself(record, deployment):
    """A signal before main() ends any program; without listeners, no request can be lost."""
    return [(at, fields) for at, fields in named(record.events, "ended")
            if fields["status"] != -signal.SIGHUP or fields["opened"]]


def killed_after_grace(record, deployment):
    return [(at, fields) for at, fields in named(record.events, "killed_after_grace")
            if not record.impaired({"all", fields["node"]},
                                   at - mesh.GRACE_S - mesh.STABLE_WINDOW_S, at)]


def unknown_request(record, deployment):
    return named(record.events, "unasked")


# Name, clause and the number of findings that the rule allows.
CLAUSES = [
    ("LOST kept connection", lost_on_kept_connection, 3),
    ("LOST SIGTERM", lost_around_sigterm, 0),
    ("LOST answer in place", answered_in_place_after_sigterm, 0),
    ("LOST SIGHUP", lost_around_sighup, 0),
    ("LOST version", lost_around_version, 0),
    ("TWICE", ran_twice, 0),
    ("REFUSED", refused_although_run, 0),
    ("MIXED", wrong_response, 0),
    ("GONE", reached_after_caller_left, 3),
    ("DRAIN", reached_leaving_upstream, 0),
    ("UNASKED", unknown_request, 0),
    ("ENDED", ended_by_itself, 0),
    ("GRACE", killed_after_grace, 0),
]


def judge(record, deployment):
    """Returns the findings of each clause that has any, and whether a rule was broken."""
    findings = {}
    broken = False
    for name, clause, bound in CLAUSES:
        found = clause(record, deployment)
        if found:
            findings[name] = found
            broken = broken or len(found) > bound
    return findings, broken
