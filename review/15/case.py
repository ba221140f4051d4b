"""The operator allows larger headers, and the nodes go on to refuse them."""

import os
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
from stand_ins_3 import *  # noqa: E402,F403

FOLDER = os.path.dirname(os.path.abspath(__file__))
ZONE = "west-ba"
CONFIG_APPLY = 2.0
REQUESTS = 300
SMALL_LIMIT, LARGE_LIMIT = 16384, 65536
SMALL_COOKIE, LARGE_COOKIE = 1000, 20000


async def play(record, folder, trouble, resources):
    store = Store(record)
    await store.start()
    services = ["huvo11a", "wuno96b"]
    rules = [rule("r-k9p8u6w", "/pufi791/", "huvo11a", "non_idempotent"),
             rule("r-qkwg4f8", "/lohu930/", "wuno96b")]
    await store.put_config(config(2, rules, services, limits={"max_header_bytes": SMALL_LIMIT}))
    nodes = [Node(record, folder, store, f"sidecar-{ZONE}-{number}", ZONE, service)
             for number, service in enumerate(services)]
    resources.extend(nodes)
    for node in nodes:
        await node.start()
    for node in nodes:
        upstream = Upstream(record, node.values["service"], ZONE, work=0.02)
        resources.append(upstream)
        await upstream.start(node.control, node.app_port)
    for node in nodes:
        await node.wait_ready()
    await asyncio.sleep(5)
    limit = LARGE_LIMIT if trouble else SMALL_LIMIT
    await store.put_config(config(5, rules, services, limits={"max_header_bytes": limit}))
    await asyncio.sleep(CONFIG_APPLY + 3)
    cookie = [("Cookie", "c" * (LARGE_COOKIE if trouble else SMALL_COOKIE))]
    callers = [Caller(record, node) for node in nodes]
    for number in range(REQUESTS // 4):
        await asyncio.gather(*(each for caller in callers for each in (
            caller.send("POST", "/pufi791/1", b"x", more=cookie),
            caller.send("GET", "/lohu930/1", more=cookie))))
    answers = [answer for caller in callers for answer in caller.answers]
    denied = [answer for answer in answers
              if 300 <= answer.status < 500 and answer.status not in (408, 421, 429) and
              not answer.get("x-response-signature")]
    allowed = 5 + len(answers) / 500
    record.line("seen", denied=len(denied), of=len(answers), allowed=allowed,
                ok=sum(answer.status == 200 for answer in answers))
    if len(denied) <= allowed:
        return ""
    return (f"{len(denied)} of {len(answers)} proper requests were ended with "
            f"{sorted({answer.status for answer in denied})}; {allowed:.1f} may be")


main(FOLDER, play, 60)
