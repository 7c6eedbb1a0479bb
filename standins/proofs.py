"""Collects the tests marked as proofs, and writes the page docs/PROOFS.md from them.

The marker of such a test names a promise of the tier and the failure under which the
test shows that the promise holds.
"""

import ast
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
FOLDERS = ("packages", "standins")

HEAD = """# Proofs

Generated from the tests by `python -m standins.prove --page`; a test compares the two.
`make prove` runs these tests alone and prints the verdicts.

| promise | failure | test |
| --- | --- | --- |
"""

TAIL = """
## Tests seen to fail without the protection

These mutations are part of the tests: merging without the two checks of an answer
mixes versions (`search/engine_test.py`); a repair that does not compare root hashes
applies part of a ticket (`peers/node_test.py`); a retry of a request that got no
answer, an issuer that forgets its requests, a false "not run" and a replaced VM that
runs ids of its predecessor each break the model of `at_most_once/model_test.py`. The
baselines of `make bench` show the tail and the crest without their mechanisms.

On the platform, sixteen protections were removed by hand, one at a time. The tests
beside the code found all of these mutations but one: draining targets stay live; a
draining target stays the fallback for ever; retries have no budget; a write is sent
again after a broken connection; too few reachable targets are not refused; an answer
with a failed status counts as a part; equal signatures are named twice; work goes on
after the caller has closed the connection; an older item replaces a newer one;
removals of unknown keys are not passed on (missed in that run; a test added since
finds it); a list of changes with a gap is merged; an older configuration comes into
force; no VM takes over as reader; an answer to another attempt is accepted; a 503 is
passed on although the request has run; the expected instance is not named. The other
tests were not seen to fail with their protection removed.

## Not proved

- Coverage where a target answers for its range but omits records: no other part of
  the system knows the records.
- A network partition between data centres with real processes: partitions are proved
  in memory, with the real node's code and a network that loses messages, is
  partitioned and heals.
- Three or more failures at once, beyond those that the random sessions combine.
- An outdated list of VMs at a replaced VM, over processes (in memory only).
- A silent connection during a rolling replacement.
- Behaviour at the target size: see CAPACITY for what is computed from slopes.
- Request ids made by callers: refused, by decision.
"""


@dataclass(frozen=True, slots=True, order=True)
class Proof:
    """A row of the table of proofs.

    Parameters
    ----------
    promise, failure : str
        What the test proves, and the failure that it injects.
    test : str
        Pytest's node id of the test.
    """

    promise: str
    failure: str
    test: str


def find_proofs() -> list[Proof]:
    """Return the proofs of all test files, ordered by promise."""
    found = []
    for folder in FOLDERS:
        for path in sorted((ROOT / folder).rglob("*_test.py")):
            found += find_proofs_in_file(path)
    return sorted(found)


def find_proofs_in_file(path: Path) -> list[Proof]:
    """Return the proofs of one test file."""
    relative_path = path.relative_to(ROOT).as_posix()
    found = []
    for node in ast.parse(path.read_text()).body:
        if not isinstance(node, ast.ClassDef):
            continue
        for test in node.body:
            if isinstance(test, ast.FunctionDef):
                name = f"{relative_path}::{node.name}::{test.name}"
                found += [Proof(*pair, name) for pair in read_proof_markers(test)]
    return found


def read_proof_markers(test: ast.FunctionDef) -> list[tuple[str, str]]:
    """Return the promise and the failure of each proof marker of a test."""
    pairs = []
    for decorator in test.decorator_list:
        if not isinstance(decorator, ast.Call):
            continue
        if not ast.unparse(decorator.func).endswith("proof"):
            continue
        values = [*decorator.args, *(k.value for k in decorator.keywords)]
        promise, failure = (ast.literal_eval(value) for value in values)
        pairs.append((promise, failure))
    return pairs


def write_page() -> str:
    """Return the text of the page docs/PROOFS.md."""
    rows = [
        f"| {p.promise} | {p.failure} | `{shorten_node_id(p.test)}` |"
        for p in find_proofs()
    ]
    return HEAD + "\n".join(rows) + "\n" + TAIL


def shorten_node_id(test: str) -> str:
    """Return a node id whose path keeps only the file and its folder."""
    path, _, name = test.partition("::")
    return f"{'/'.join(path.split('/')[-2:])}::{name}"
