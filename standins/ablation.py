"""Plays days of a bench with one mechanism off at a time and prints a table.

`python -m standins.ablation --bench COMMAND --site FILE --days a,b --folder FOLDER`
needs the users' bench, which is not part of the repository. Each variant is played in a
clone of its own, whose deploy file names the mechanism in `CASSIASTAIRD_OFF`.
"""

import statistics
import subprocess
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

import fire
import orjson
from cassiastaird.entry.ablation import REPLACEMENTS, VARIABLE

ROOT = Path(__file__).resolve().parent.parent
ALL_ON = "all on"
DEPLOY_LINE = 'serves = ["front", "control_plane"]\n'


@dataclass(frozen=True, slots=True)
class Play:
    """One play of a day.

    Parameters
    ----------
    variant : str
        Mechanism that is off, or `ALL_ON`.
    day : str
        Name of the day.
    seed : int
        Seed of the day.
    worth : float
        Worth of the play.
    rules : tuple of str
        Rules that were broken.
    """

    variant: str
    day: str
    seed: int
    worth: float
    rules: tuple[str, ...]


def make_clone(folder: Path, variant: str) -> Path:
    """Clone the repository for a variant and return the clone's path."""
    path = folder / variant.replace(" ", "-")
    if not path.exists():
        subprocess.run(["git", "clone", "-q", str(ROOT), str(path)], check=True)
    if variant != ALL_ON:
        deploy = path / "deploy" / "system.toml"
        line = f'env = {{ {VARIABLE} = "{variant}" }}\n'
        text = deploy.read_text()
        if line not in text:
            deploy.write_text(text.replace(DEPLOY_LINE, DEPLOY_LINE + line))
    return path


def play_day(bench: str, site: str, clone: Path, variant: str, day: str, seed: int):
    """Play a day and return the play, read from the journal entry that it leaves."""
    why = f"Ablation, trial: {variant}{'' if variant == ALL_ON else ' off'}"
    command = [bench, "run", site, day, "--seed", str(seed), "--jobs", "1"]
    output = subprocess.run(
        [*command, "--why", why], cwd=clone, capture_output=True, text=True
    ).stdout
    snapshot = output.rsplit("snapshot ", 1)[-1].split()[0]
    (entry,) = (clone / "journal").glob(f"*-{snapshot}.json")
    played = orjson.loads(entry.read_bytes())["days"][0]
    return Play(variant, day, seed, played["G"], tuple(played["rules"]))


def format_plays(plays: list[Play]) -> list[str]:
    """Return a line of a Markdown table for each variant and day.

    The last column is the difference from the plays of the day with all on.
    """
    lines = [
        "| off | day | worth | mean | all on, less this |",
        "| --- | --- | --- | --- | --- |",
    ]
    groups: dict[tuple[str, str], list[Play]] = {}
    for play in plays:
        groups.setdefault((play.variant, play.day), []).append(play)
    means = {k: statistics.mean(p.worth for p in group) for k, group in groups.items()}
    for (variant, day), group in groups.items():
        worth = ", ".join(f"{p.worth:.3f}" for p in group)
        broken = sorted({rule for p in group for rule in p.rules})
        note = f" (broken: {', '.join(broken)})" if broken else ""
        difference = means[ALL_ON, day] - means[variant, day]
        lines.append(
            f"| {variant} | {day} | {worth}{note} | {means[variant, day]:.3f} "
            f"| {difference:+.3f} |"
        )
    return lines


def run_ablation(
    bench: str,
    site: str,
    days: str,
    folder: str,
    seeds: str = "1,2,3",
    off: str = ",".join(REPLACEMENTS),
    jobs: int = 4,
) -> None:
    """Play each day with all mechanisms on and with one off, and print the table.

    Parameters
    ----------
    bench : str
        Program of the users' bench.
    site : str
        Site file.
    days : str
        Names of days, separated by commas.
    folder : str
        Folder for the clones, not a temporary one.
    seeds : str
        Seeds of each day, separated by commas.
    off : str
        Mechanisms to switch off one at a time, separated by commas.
    jobs : int
        Number of plays at the same time.
    """
    variants = [ALL_ON, *split(off)]
    clones = {v: make_clone(Path(folder), v) for v in variants}
    cases = [
        (variant, day, int(seed))
        for variant in variants
        for day in split(days)
        for seed in split(seeds)
    ]
    with ThreadPoolExecutor(jobs) as pool:
        plays = list(pool.map(lambda c: play_day(bench, site, clones[c[0]], *c), cases))
    print("\n".join(format_plays(plays)))


def split(names: object) -> list[str]:
    """Return the names of a list, which fire may have split already."""
    if isinstance(names, (list, tuple)):
        return [str(name) for name in names]
    return str(names).split(",")


if __name__ == "__main__":
    fire.Fire(run_ablation)
