#!/bin/bash
# Plots bench/results/*.json as PNG files with gnuplot.
set -euo pipefail

cd "$(dirname "$0")/results"

python3 - <<'PY'
import json
import pathlib


def write(name, rows):
    pathlib.Path(name).write_text(
        "\n".join(" ".join(str(cell) for cell in row) for row in rows) + "\n")


if pathlib.Path("scale.json").exists():
    scale = json.load(open("scale.json"))
    write("scale.dat", [(row["daemons"], row["cpu_percent"],
                         row["control_kb_per_second"], row["resident_mb"])
                        for row in scale["sizes"]])
if pathlib.Path("queue.json").exists():
    queue = json.load(open("queue.json"))
    write("queue.dat", [(f'{row["order"]}-{row["slots"]}',
                         row["surge_short_ms"]["p99"], row["long_ms"]["p99"])
                        for row in queue["runs"]])
if pathlib.Path("placement.json").exists():
    runs = json.load(open("placement.json"))["runs"]
    write("placement.dat", [(f'{row["scenario"]}-{row["method"]}'.replace("_", "-"),
                             row["imbalance_mean"], row["imbalance_p95"])
                            for row in runs])
PY

if [ -f scale.dat ]; then
  gnuplot <<'GP'
set terminal png size 800,500
set output "scale.png"
set xlabel "daemons"
set key left
plot "scale.dat" using 1:2 with linespoints title "CPU, % of a core", \
     "scale.dat" using 1:3 with linespoints title "control traffic, KB/s", \
     "scale.dat" using 1:4 with linespoints title "resident memory, MB"
GP
fi

if [ -f queue.dat ]; then
  gnuplot <<'GP'
set terminal png size 800,500
set output "queue.png"
set logscale y
set ylabel "p99 in the surge, ms"
set style data histogram
set style fill solid
plot "queue.dat" using 2:xtic(1) title "short", "" using 3 title "long"
GP
fi
if [ -f placement.dat ]; then
  gnuplot <<'GP'
set terminal png size 900,500
set output "placement.png"
set ylabel "highest load / mean load"
set yrange [1:*]
set xtics rotate by -30
set style data histogram
set style fill solid
plot "placement.dat" using 2:xtic(1) title "mean", "" using 3 title "p95"
GP
fi
rm -f scale.dat queue.dat placement.dat
