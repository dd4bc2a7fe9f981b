"""Queues whose host and prefix no call for a job can match.

A call for a job goes to the queue of its host with the longest prefix that its path begins with
(`Catalog.find_queue`). Its path is the prefix and an id of `ID_DIGITS` hexadecimal digits, so that
only two things can take a queue's calls away from it: an earlier queue with an equal prefix, and
prefixes that continue its own with hexadecimal digits.
"""

from __future__ import annotations

import re
from collections.abc import Iterable, Iterator
from ipaddress import IPv6Address

from acaciastand.workflow.catalog import Queue
from acaciastand.workflow.catalog_draft import CatalogDraft, DraftQueue, Finding, Severity

HEX_DIGITS = "0123456789abcdef"
ID_DIGITS = 16  # Length of the id of a job.

HOST_NAME = re.compile(r"[A-Za-z0-9_]([A-Za-z0-9_.-]*[A-Za-z0-9_.])?")
# Characters that a path carries as they are (RFC 3986); all others arrive only percent-encoded.
PATH_CHARACTERS = re.compile(r"[A-Za-z0-9._~!$&'()*+,;=:@/-]*")

ID_DIGITS_PATTERN = re.compile(f"[{HEX_DIGITS}]{{1,{ID_DIGITS}}}")


def check_reach(draft: CatalogDraft) -> list[Finding]:
    """Return what keeps calls from the queues of a configuration."""
    findings: list[Finding] = []
    for entry, queue in draft.decoded_queues:
        findings += _host_findings(entry, queue)
        findings += _prefix_findings(entry, queue)
    return [*findings, *_shadow_findings(draft.decoded_queues)]


def _host_findings(entry: DraftQueue, queue: Queue) -> Iterator[Finding]:
    if not _is_host_name(queue.host):
        yield Finding(
            Severity.ERROR,
            "host_invalid",
            entry.label,
            "host",
            f"no call has the host name {queue.host!r}",
            "write the name alone, without scheme, port and spaces",
        )
    elif queue.host != queue.host.lower():
        yield Finding(
            Severity.WARNING,
            "host_has_capitals",
            entry.label,
            "host",
            f"only calls that spell the host name {queue.host!r} match, and most clients send"
            " lower case",
            "write it in lower case",
        )


def _is_host_name(host: str) -> bool:
    if HOST_NAME.fullmatch(host):
        return True
    try:
        IPv6Address(host)
    except ValueError:
        return False
    return True


def _prefix_findings(entry: DraftQueue, queue: Queue) -> Iterator[Finding]:
    prefix = queue.prefix
    if not prefix.startswith("/"):
        yield Finding(
            Severity.ERROR,
            "prefix_invalid",
            entry.label,
            "prefix",
            f"the path of a job never is {prefix!r} and an id, since each path begins with /",
            "begin the prefix with /",
        )
        return
    if not PATH_CHARACTERS.fullmatch(prefix):
        yield Finding(
            Severity.WARNING,
            "prefix_needs_encoding",
            entry.label,
            "prefix",
            f"{prefix!r} is compared with the decoded path, so callers must percent-encode some of"
            " its characters",
            "use letters, digits and -._~ in the prefix",
        )
    if {".", ".."} & set(prefix.split("/")):
        yield Finding(
            Severity.WARNING,
            "prefix_has_dot_segment",
            entry.label,
            "prefix",
            f"most clients resolve the . and .. in {prefix!r} before they send the path",
            "write the resolved path",
        )
    if not prefix.endswith("/"):
        yield Finding(
            Severity.NOTICE,
            "prefix_without_slash",
            entry.label,
            "prefix",
            f"the id of a job follows {prefix!r} without a / between them",
            "end the prefix with / unless that is meant",
        )


def _shadow_findings(queues: list[tuple[DraftQueue, Queue]]) -> Iterator[Finding]:
    first_by_place: dict[tuple[str, str], DraftQueue] = {}
    for entry, queue in queues:
        first = first_by_place.setdefault((queue.host, queue.prefix), entry)
        if first is not entry:
            yield Finding(
                Severity.ERROR,
                "never_matches",
                entry.label,
                "prefix",
                f"{first.label} has the same host and prefix and receives all calls",
                "remove one of them or give it another prefix",
            )
    longer = _continuations(first_by_place)
    for (host, prefix), digits in longer.items():
        takers = [first_by_place[host, prefix + tail].label for tail in digits]
        yield _shadow_finding(first_by_place[host, prefix], digits, takers)


def _continuations(places: Iterable[tuple[str, str]]) -> dict[tuple[str, str], list[str]]:
    """Return the hexadecimal digits with which other prefixes of the host continue a prefix."""
    found: dict[tuple[str, str], list[str]] = {}
    known = set(places)
    for host, prefix in known:
        for length in range(1, min(ID_DIGITS, len(prefix)) + 1):
            shorter, tail = prefix[:-length], prefix[-length:]
            if not ID_DIGITS_PATTERN.fullmatch(tail):
                break
            if (host, shorter) in known:
                found.setdefault((host, shorter), []).append(tail)
    return {place: sorted(found[place]) for place in sorted(found)}


def _shadow_finding(entry: DraftQueue, digits: list[str], takers: list[str]) -> Finding:
    remedy = "give the queues prefixes that do not continue one another with hexadecimal digits"
    shown = ", ".join(takers[:3]) + (" and others" if len(takers) > 3 else "")
    if covers_all_ids(digits):
        return Finding(
            Severity.ERROR,
            "never_matches",
            entry.label,
            "prefix",
            f"whatever the id of a job, its calls go to a queue with a longer prefix: {shown}",
            remedy,
        )
    return Finding(
        Severity.WARNING,
        "some_ids_never_match",
        entry.label,
        "prefix",
        f"calls for jobs whose id begins with {' or '.join(digits[:3])} go to {shown}, which"
        " has no such jobs",
        remedy,
    )


def covers_all_ids(digits: Iterable[str]) -> bool:
    """Return whether each id begins with one of some texts of hexadecimal digits."""
    heads = set(digits)
    if "" in heads:
        return True
    by_first: dict[str, set[str]] = {}
    for head in heads:
        by_first.setdefault(head[0], set()).add(head[1:])
    return len(by_first) == len(HEX_DIGITS) and all(map(covers_all_ids, by_first.values()))
