#!/usr/bin/env bash
# Draws docs/capacity/capacity.png from the data files in docs/capacity/.
set -euo pipefail
cd "$(dirname "$0")/../../docs/capacity"
gnuplot <<'G'
set terminal pngcairo size 1200,900
set output "capacity.png"
set datafile separator "\t"
set key top left
set grid
set multiplot layout 2,2
set title "Control CPU of a host (core only)"
set xlabel "hosts"; set ylabel "ms of CPU per second"
plot "< tail -qn +2 control-cell.tsv control-hosts-proportional.tsv" using 1:($15/1000) with linespoints title "7.2 leaves a host", \
     "control-hosts-fixed.tsv" using 1:($15/1000) every ::1 with linespoints title "240 leaves", \
     39 with lines dashtype 2 title "target"
set title "Control CPU of a host (24 hosts)"
set xlabel "leaves"
plot "control-leaves.tsv" using 2:($15/1000) every ::1 with linespoints title "24 hosts", \
     39 with lines dashtype 2 title "target"
set title "Control bytes of a host, sent and received"
set xlabel "hosts"; set ylabel "kB per second"; set yrange [0:*]
plot "control-hosts-proportional.tsv" using 1:($10*2/1000) every ::1 with linespoints title "mean", \
     "control-hosts-proportional.tsv" using 1:($11/1000) every ::1 with linespoints title "most of one host", \
     9 with lines dashtype 2 title "target"
set title "CPU of a leaf call (six processes)"
set xlabel "leaf calls per second"; set ylabel "microseconds"
plot "datapath.tsv" using ($1*$2):4 every ::1 with points pointtype 7 title "entry host", \
     "datapath.tsv" using ($1*$2):5 every ::1 with points pointtype 5 title "owner", \
     47.6 with lines dashtype 2 title "8 cores at 168,000 calls/s"
unset multiplot
G
