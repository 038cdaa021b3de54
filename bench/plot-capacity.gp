# Plots the cost of control per daemon against the number of daemons in a failure domain.
#   gnuplot -e "input='docs/capacity.csv'; output='docs/capacity.svg'" bench/plot-capacity.gp
set datafile separator ','
set terminal svg size 900,700 background rgb 'white'
set output output
set multiplot layout 2,2
set key off
set xlabel 'daemons in one failure domain'
set xrange [0:100]
set yrange [0:*]
set grid
# Rows of one failure domain, 8 backend servers and 10 organisations.
select(column_number) = (column(1) == 1 && column(3) == 8 && column(4) == 10) ? column(column_number) : NaN
set ylabel 'bus traffic, kB/s (limit 14)'
plot input every ::1 using (select(2)):(select(9)) with points pt 7, '' every ::1 using (select(2)):(select(10)) with points pt 6
set ylabel 'processor, % of a core (limit 1.5)'
plot input every ::1 using (select(2)):(select(5)) with points pt 7, '' every ::1 using (select(2)):(select(6)) with points pt 6
set ylabel 'resident memory, MB (limit 256)'
plot input every ::1 using (select(2)):(select(7)) with points pt 7
set ylabel 'change in force, s (limit 20)'
plot input every ::1 using (select(2)):(select(14)) with points pt 7
