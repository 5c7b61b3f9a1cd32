"""Plot the cost of the control plane against the size of the mesh, as SVG.

Reads the output lines of ``poplarrack-bench run capacity``, one per size,
from standard input, and writes the file that the first argument names:

    for n in 50 200 1000; do
        poplarrack-bench run capacity --seed 1 --nodes $n | tail -1
    done | python tools/plot_capacity.py docs/capacity.svg

Needs the extra ``plots``, which nodes do not need.
"""

from json import loads
import sys

from matplotlib.figure import Figure

# Figure, axis label and budget of each panel.
PANELS = (
    ('most_control_mb', 'MB of control', 32),
    ('most_cpu_share', 'part of a core', 0.02),
    ('most_bytes_per_second', 'bytes/s', 3000),
)


def plot(runs, path):
    """Plot each figure against the number of nodes, with its budget.

    :param runs: the decoded lines, by ascending number of nodes.
    :param path: the SVG file to write.
    """
    figure = Figure(figsize=(10, 3.2), layout='constrained')
    axes = figure.subplots(1, len(PANELS))
    sizes = [run['figures']['nodes'] for run in runs]
    for panel, (name, label, budget) in zip(axes, PANELS):
        values = [run['figures'][name] for run in runs]
        panel.plot(sizes, values, 'o-', label='busiest role')
        panel.axhline(budget, color='tab:red', ls='--', label='budget')
        panel.set_ylim(0, budget * 1.15)
        panel.set_xlabel('nodes')
        panel.set_ylabel(label)
        panel.legend(loc='lower right')
    figure.savefig(path, metadata={'Date': None})


def main():
    """Read the runs and plot them; return the exit status."""
    runs = [loads(line) for line in sys.stdin if line.startswith('{')]
    if len(sys.argv) != 2 or not runs:
        print(__doc__, file=sys.stderr)
        return 2
    plot(sorted(runs, key=lambda run: run['figures']['nodes']), sys.argv[1])
    return 0


if __name__ == '__main__':
    sys.exit(main())
