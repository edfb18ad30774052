"""Stand-in of the platform's store, as PROTOCOL.md and letter 11 describe it.

It keeps objects of several kinds under one revision counter, lists and watches them,
and writes under a condition. In a drill it goes away for a moment and comes back from
a copy that was taken before: revisions go back and are given out again, a watch from a
revision that the store doesn't have gets 410, and `Store-Era` rises by one.
"""

import copy
import json
import threading
import time
import urllib.parse

from http_io import HttpService

HISTORY_S = 20.0


class Store(HttpService):
    """Keep objects in memory and serve them.

    Attributes
    ----------
    revision : int
        Revision of the last change.
    era : int
        Value of the header `Store-Era`.
    is_away : bool
        Whether the store doesn't answer; replicas then write nothing either.
    came_back_at : float
        Monotonic time of the last return from a copy.
    copies_before : dict
        For each kind, the monotonic time and a copy of the store right before the first
        object of this kind was written.
    """

    def __init__(self, note=lambda *fields: None):
        self._changed = threading.Condition(threading.RLock())
        self._objects = {}
        self._history = []
        self._forgotten = 0
        self.revision = 100
        self.era = 1
        self.is_away = False
        self.came_back_at = 0.0
        self.copies_before = {}
        self._note = note
        super().__init__()

    def all_answers(self):
        """Return the header of letter 11."""
        return [("Store-Era", str(self.era))]

    def put(self, kind, name, spec, who="replica"):
        """Write an object for the operator or a replica; equal content changes nothing.

        As on the page, an entry changes when more than `sequence` changes.
        """
        with self._changed:
            known = self._objects.get((kind, name))
            if known is not None and _content(known["spec"]) == _content(spec):
                known["spec"] = spec
                return known["metadata"]["revision"]
            return self._write(kind, name, spec, who)["metadata"]["revision"]

    def remove(self, kind, name, who="replica"):
        """Remove an object; return whether it was there."""
        with self._changed:
            return self._delete(kind, name, who)

    def spec(self, kind, name):
        """Return what an object holds, or None."""
        with self._changed:
            known = self._objects.get((kind, name))
            return copy.deepcopy(known["spec"]) if known else None

    def copy(self):
        """Return a copy of all objects with the revision at which it was taken."""
        with self._changed:
            return copy.deepcopy(self._objects), list(self._history), self.revision

    def go_away(self):
        """Stop answering; connections are reset."""
        self.is_away = True
        self.close()

    def come_back(self, stored):
        """Serve from a copy again, after `go_away`."""
        objects, history, revision = stored
        with self._changed:
            self._objects = copy.deepcopy(objects)
            self._history = list(history)
            self.revision = revision
            self.era += 1
            self._changed.notify_all()
        self.open_again()
        self.is_away = False
        self.came_back_at = time.monotonic()

    def _write(self, kind, name, spec, who, status=None):
        if not any(k == kind for k, _ in self._objects):
            self.copies_before[kind] = time.monotonic(), self.copy()
        self.revision += 1
        known = self._objects.get((kind, name))
        stored = {
            "metadata": {
                "name": name,
                "revision": self.revision,
                "created": known["metadata"]["created"] if known else self.revision,
                "finalizers": [],
                "deletionPending": False,
            },
            "spec": spec,
            "status": status,
        }
        self._objects[kind, name] = stored
        self._record(kind, stored, False)
        self._note("store", who, "write", kind, name, self.revision, self.era, spec)
        return stored

    def _delete(self, kind, name, who):
        removed = self._objects.pop((kind, name), None)
        if removed is None:
            return False
        self.revision += 1
        self._record(kind, removed, True)
        self._note("store", who, "remove", kind, name, self.revision, self.era, "")
        return True

    def _record(self, kind, stored, deleted):
        now = time.monotonic()
        event = {"object": copy.deepcopy(stored), "deleted": deleted}
        self._history.append((self.revision, now, kind, event))
        while self._history and self._history[0][1] < now - HISTORY_S:
            self._forgotten = self._history.pop(0)[0]
        self._changed.notify_all()

    def handle(self, handler, body):
        """Answer one call."""
        path, _, text = handler.path.partition("?")
        query = dict(urllib.parse.parse_qsl(text))
        parts = [urllib.parse.unquote(part) for part in path.split("/")[1:]]
        if parts[:2] != ["v1", "objects"] or not 3 <= len(parts) <= 5:
            handler.reply(404, {})
            return
        who = handler.client_address[0]
        data = json.loads(body) if body else {}
        if "watch" in query:
            status, answer = self._watch(parts[2], query)
        else:
            status, answer = self._call(handler.command, parts[2:], query, data, who)
        handler.reply(status, answer)

    def _call(self, method, parts, query, data, who):
        metadata = data.get("metadata") or {}
        with self._changed:
            if len(parts) == 1 and method == "GET":
                return 200, self._list(parts[0], query.get("after", ""))
            if len(parts) == 1 and method == "POST":
                key = (parts[0], metadata["name"])
                if key in self._objects:
                    return 409, self._objects[key]
                return 200, self._write(*key, data.get("spec"), who)
            key = (parts[0], parts[1])
            known = self._objects.get(key)
            if known is None:
                return 404, {}
            if method == "GET":
                return 200, known
            wanted = metadata.get("revision") or query.get("revision")
            if wanted and int(wanted) != known["metadata"]["revision"]:
                return 409, known
            if method == "DELETE":
                self._delete(*key, who)
                return 200, {}
            if len(parts) == 3:
                return 200, self._write(*key, known["spec"], who, data.get("status"))
            if known["spec"] == data.get("spec"):
                return 200, known
            return 200, self._write(*key, data.get("spec"), who)

    def _list(self, kind, after):
        names = sorted(name for k, name in self._objects if k == kind and name > after)
        page = [self._objects[kind, name] for name in names[:500]]
        return {"items": page, "hasMore": len(names) > 500, "at": self.revision}

    def _watch(self, kind, query):
        since = int(query["watch"])
        deadline = time.monotonic() + min(30_000, int(query.get("waitMs", 0))) / 1000
        era = self.era
        with self._changed:
            while True:
                if since < self._forgotten or since > self.revision:
                    return 410, {}
                events = [
                    event
                    for revision, _, k, event in self._history
                    if revision > since and k == kind
                ]
                left_s = deadline - time.monotonic()
                if events or left_s <= 0 or era != self.era:
                    return 200, {"events": events, "at": self.revision}
                self._changed.wait(min(left_s, 0.5))


def _content(spec):
    return {key: value for key, value in spec.items() if key != "sequence"}
