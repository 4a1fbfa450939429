
s/j-1/n1record