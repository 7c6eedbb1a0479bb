"""The proofs in the tests: which test shows which promise under which failure."""

import ast
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
FOLDERS = ("packages", "standins")

HEAD = """# Proofs

Made from the tests by `python -m standins.prove --page`; a test compares the two.
`make prove` runs these tests alone and prints the verdicts.

| promise | failure | test |
| --- | --- | --- |
"""

TAIL = """
## Seen to fail with the protection out

These mutations stay in the tests: merging without the two checks of an answer mixes
versions (`search/engine_test.py`); a repair without the check of its roots tears
tickets (`peers/node_test.py`); a retry after silence, an issuer without memory, a
false "not run" and replacements that run foreign ids each break the model of
`at_most_once/model_test.py`. The baselines of `make bench` show the tail and the crest
without their mechanisms.

On the platform, sixteen protections were taken out by hand, one at a time, and each
was found by the tests beside it but one: draining targets stay live; the last resort
never ends; repeats without a budget; a write is sent again after a break; too few
targets in reach are not refused; a failed status counts as a part; equal signatures
are named twice; work goes on when the caller has left; an older item replaces a newer
one; removals of unknown keys are no news (missed in that run, found by a test of its
own since); a gap in changes is merged; an older configuration comes in force; no VM
steps in as a reader; an answer to another attempt is taken; a 503 that ran is passed
on; the expected instance is not named. The other tests were not seen to fail with
their protection taken out.

## Not proved

- Coverage where a target answers for its range but leaves records out: nobody else
  knows the records.
- A cut between data centres with real processes: cuts are proved in memory, with the
  real node's code and a network that loses, cuts and heals.
- Three and more failures at once, beyond what the random sessions happen to mix.
- A list of VMs that lags at a replaced VM, over processes (in memory only).
- A silent connection under a rolling replacement.
- Behaviour at the target size: see CAPACITY for what is worked out from slopes.
- Caller-made request ids: refused, by decision.
"""


@dataclass(frozen=True, slots=True, order=True)
class Proof:
    """A cell of the table.

    Parameters
    ----------
    promise, failure : str
        What is proved, and what goes wrong meanwhile.
    test : str
        Node id of the test.
    """

    promise: str
    failure: str
    test: str


def find_proofs() -> list[Proof]:
    """Return all proofs, ordered by promise."""
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
    """Return promise and failure of each proof marker of a test."""
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
    """Return the page docs/PROOFS.md."""
    rows = [
        f"| {p.promise} | {p.failure} | `{shorten_node_id(p.test)}` |"
        for p in find_proofs()
    ]
    return HEAD + "\n".join(rows) + "\n" + TAIL


def shorten_node_id(test: str) -> str:
    """Return a node id without its folders."""
    path, _, name = test.partition("::")
    return f"{'/'.join(path.split('/')[-2:])}::{name}"
